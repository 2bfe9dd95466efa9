package beaconturn.standin;

/**
 * What is wrong with a cache server at the moment; set by faults, read by the model and by fronts.
 */
public final class FaultState {
  private double slowdown = 1;
  private boolean stalled;
  private boolean draining;
  private double errorShare;
  private double corruptionShare;
  private double resetShare;
  private boolean unread;
  private boolean refusing;
  private boolean mute;
  private boolean vanished;

  /** Work takes so many times as long. */
  public double slowdown() {
    return slowdown;
  }

  /** It takes commands and neither ends any work nor answers. */
  public boolean stalled() {
    return stalled;
  }

  /** It turns new commands away and finishes what it has. */
  public boolean draining() {
    return draining;
  }

  /** Part of the commands that fail at once. */
  public double errorShare() {
    return errorShare;
  }

  /** Part of the answers that are spoilt. */
  public double corruptionShare() {
    return corruptionShare;
  }

  /** Part of the commands at which the connection is reset once they have come whole. */
  public double resetShare() {
    return resetShare;
  }

  /** Nothing is read from any connection; it stays in the kernel's buffers. */
  public boolean unread() {
    return unread || vanished;
  }

  /** New connections are refused. */
  public boolean refusing() {
    return refusing;
  }

  /** New connections are accepted and never read from. */
  public boolean mute() {
    return mute;
  }

  /** The peer is gone without a word: nothing is read or written, new connections never come up. */
  public boolean vanished() {
    return vanished;
  }

  void set(Fault.Kind kind, double amount) {
    boolean on = amount != 0;
    switch (kind) {
      case SLOW -> slowdown = on ? amount : 1;
      case STALL -> stalled = on;
      case DRAIN, DRAIN_LATE -> draining = on;
      case ERRORS -> errorShare = amount;
      case SPOIL -> corruptionShare = amount;
      case RESET -> resetShare = amount;
      case UNREAD -> unread = on;
      case REFUSE -> refusing = on;
      case MUTE -> mute = on;
      case VANISH -> vanished = on;
      default -> throw new IllegalArgumentException(kind + " is no condition of a running server");
    }
  }

  void clear() {
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (kind.isServerState()) {
        set(kind, 0);
      }
    }
  }
}
