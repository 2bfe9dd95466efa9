package beaconturn.net;

import java.util.concurrent.Semaphore;

/** How many connections to cache servers may be open at once, all servers together. */
final class ConnectionBudget {
    private final Semaphore left;

    ConnectionBudget(int most) {
        left = new Semaphore(most);
    }

    boolean take() {
        return left.tryAcquire();
    }

    void release() {
        left.release();
    }
}
