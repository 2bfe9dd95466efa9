package beaconturn.history;

/** Counts attempts, and those of them that went to another zone. */
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

  /** The share that went to another zone; 0 of none. */
  double value() {
    return attempts == 0 ? 0 : remote / (double) attempts;
  }
}
