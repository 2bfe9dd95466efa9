package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.ledger.Account;
import beaconturn.ledger.Entry;

/** Notes when the machine did not let this process run: what is then late is not the routers' doing. */
final class PauseWatch {
    private static final long MILLI = 1_000_000;
    private static final long STEP = 5 * MILLI;
    private static final long WORTH_NOTING = 20 * MILLI;
    private final Clock clock;
    private final Account account;
    private volatile boolean over;
    private volatile long total;

    PauseWatch(Clock clock, Account account) {
        this.clock = clock;
        this.account = account;
    }

    void start() {
        Thread thread = new Thread(this::run, "pauses");
        thread.setDaemon(true);
        thread.setPriority(Thread.MAX_PRIORITY);
        thread.start();
    }

    void stop() {
        over = true;
    }

    /** Nanoseconds of all pauses that were worth noting. */
    long total() {
        return total;
    }

    private void run() {
        try {
            for (long last = clock.now(); !over; last = clock.now()) {
                Thread.sleep(STEP / MILLI);
                long pause = clock.now() - last - STEP;
                if (pause > WORTH_NOTING) {
                    account.add(new Entry.Paused(last + STEP, last + STEP + pause));
                    total += pause;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
