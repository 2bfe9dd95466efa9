package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.ledger.Account;
import beaconturn.ledger.Entry;

/**
 * Notes when the machine did not let this process run, or took a processor away from all: what is then late
 * is not the routers' doing.
 */
final class PauseWatch {
    private static final long MILLI = 1_000_000;
    private static final long STEP = 5 * MILLI;
    private static final long WORTH_NOTING = 5 * MILLI;
    /** Steps between two looks at what was stolen, which is told in ticks of 10 ms. */
    private static final int LOOK_EVERY = 4;
    private final Clock clock;
    private final Account account;
    private final StolenTime stolen = new StolenTime();
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
            stolen.since();
            long noted = clock.now();
            long last = noted;
            for (int step = 1; !over; step++) {
                Thread.sleep(STEP / MILLI);
                long now = clock.now();
                long late = now - last - STEP;
                long pause = Math.max(late > WORTH_NOTING ? late : 0, step % LOOK_EVERY == 0
                    ? stolen.since() : 0);
                if (pause > 0) {
                    // No moment counts twice.
                    long from = Math.max(noted, now - pause);
                    account.add(new Entry.Paused(from, now));
                    total += now - from;
                    noted = now;
                }
                last = now;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
