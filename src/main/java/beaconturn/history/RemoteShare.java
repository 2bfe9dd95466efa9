package beaconturn.history;

/** Counts attempts and the share of them that went to another zone. */
final class RemoteShare {
  private int attempts;
  private int remote;

  void add(boolean toOtherZone) {
    attempts++;
    if (toOtherZone) {
      remote++;
    }
  }

  int attempts() {
    return attempts;
  }

  int remote() {
    return remote;
  }

  /** Returns the share that went to another zone; 0 without attempts. */
  double value() {
    return attempts == 0 ? 0 : remote / (double) attempts;
  }
}
