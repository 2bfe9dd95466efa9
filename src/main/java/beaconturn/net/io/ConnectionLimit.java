package beaconturn.net.io;

/**
 * A limit on the number of concurrent connections. Can be changed; connections above a lowered
 * limit stay open. For any thread.
 */
public final class ConnectionLimit {
  private int limit;
  private int count;

  public ConnectionLimit(int limit) {
    this.limit = limit;
  }

  /** Counts one more connection; false, and without effect, if the limit is reached. */
  public synchronized boolean tryAcquire() {
    if (count >= limit) {
      return false;
    }
    count++;
    return true;
  }

  /** Removes a closed connection from the count. */
  public synchronized void release() {
    count--;
  }

  public synchronized void setLimit(int newLimit) {
    limit = newLimit;
  }
}
