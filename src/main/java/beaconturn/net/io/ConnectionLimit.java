package beaconturn.net.io;

/**
 * A limit on how many connections there are at once. It may change; those over a new limit stay
 * until they end. Any thread may call.
 */
public final class ConnectionLimit {
  private int limit;
  private int count;

  /** A limit of so many, of which none is taken. */
  public ConnectionLimit(int limit) {
    this.limit = limit;
  }

  /** Counts one more connection; false, and without effect, if there are as many as may be. */
  public synchronized boolean tryAcquire() {
    if (count >= limit) {
      return false;
    }
    count++;
    return true;
  }

  /** Counts one connection less. */
  public synchronized void release() {
    count--;
  }

  /** Sets another limit. */
  public synchronized void setLimit(int newLimit) {
    limit = newLimit;
  }
}
