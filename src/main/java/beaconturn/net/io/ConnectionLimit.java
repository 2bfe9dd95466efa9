package beaconturn.net.io;

/**
 * So many connections at once and no more; how many may change, and those over a new bound stay
 * till they end.
 */
public final class ConnectionLimit {
  private int most;
  private int taken;

  public ConnectionLimit(int most) {
    this.most = most;
  }

  public synchronized boolean tryAcquire() {
    if (taken >= most) {
      return false;
    }
    taken++;
    return true;
  }

  public synchronized void release() {
    taken--;
  }

  public synchronized void most(int now) {
    most = now;
  }
}
