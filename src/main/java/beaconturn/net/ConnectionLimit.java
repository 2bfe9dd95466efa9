package beaconturn.net;

/**
 * So many connections at once and no more; how many may change, and those over a new bound stay
 * till they end.
 */
final class ConnectionLimit {
  private int most;
  private int taken;

  ConnectionLimit(int most) {
    this.most = most;
  }

  synchronized boolean tryAcquire() {
    if (taken >= most) {
      return false;
    }
    taken++;
    return true;
  }

  synchronized void release() {
    taken--;
  }

  synchronized void most(int now) {
    most = now;
  }
}
