package beaconturn.standin;

/**
 * The faults of one cache server that are in force, read by its model and its socket front. Not
 * thread-safe.
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

  /** Returns the factor by which work takes longer. */
  public double slowdown() {
    return slowdown;
  }

  /** Returns whether commands are accepted but no work is completed and no response is sent. */
  public boolean stalled() {
    return stalled;
  }

  /** Returns whether new commands are rejected while accepted ones are completed. */
  public boolean draining() {
    return draining;
  }

  /** Returns the share of commands that fail at once, 0 to 1. */
  public double errorShare() {
    return errorShare;
  }

  /** Returns the share of responses that are corrupted, 0 to 1. */
  public double corruptionShare() {
    return corruptionShare;
  }

  /** Returns the share of commands on whose receipt the connection is reset, 0 to 1. */
  public double resetShare() {
    return resetShare;
  }

  /** Returns whether no connection is read, so that input stays in the kernel's buffers. */
  public boolean unread() {
    return unread || vanished;
  }

  /** Returns whether new connections are refused. */
  public boolean refusing() {
    return refusing;
  }

  /** Returns whether new connections are accepted but never read. */
  public boolean mute() {
    return mute;
  }

  /**
   * Returns whether the machine is unreachable: nothing is read or written, and new connections are
   * never established.
   */
  public boolean vanished() {
    return vanished;
  }

  /** Sets a fault to a factor or share; 0 clears it. */
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
      default -> throw new IllegalArgumentException(kind + " is not a state of a running server");
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
