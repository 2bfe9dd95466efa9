package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Notes when the machine did not let this process run, when the stand-ins' own thread was behind,
 * and when the host took a processor away: what is then late is not the routers' doing.
 */
final class MachinePauseDetector {
  private static final long MILLI = 1_000_000;
  private static final long STEP = 5 * MILLI;
  private static final long WORTH_NOTING = 5 * MILLI;

  /** Steps between two looks at what was stolen, which is told in ticks of 10 ms. */
  private static final int LOOK_EVERY = 4;

  private final Clock clock;
  private final History account;
  private final Consumer<Runnable> standIns;
  private final StolenTime stolen = new StolenTime();
  private final AtomicBoolean asked = new AtomicBoolean();
  private volatile boolean over;

  /** A watch that has not begun; {@code standIns} runs something on the stand-ins' thread, soon. */
  MachinePauseDetector(Clock clock, History account, Consumer<Runnable> standIns) {
    this.clock = clock;
    this.account = account;
    this.standIns = standIns;
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

  private void run() {
    try {
      stolen.since();
      long last = clock.now();
      for (int step = 1; !over; step++) {
        Thread.sleep(STEP / MILLI);
        long now = clock.now();
        note(now - last - STEP, now);
        if (step % LOOK_EVERY == 0) {
          note(stolen.since(), now);
        }
        if (asked.compareAndSet(false, true)) {
          standIns.accept(
              () -> {
                note(clock.now() - now, clock.now());
                asked.set(false);
              });
        }
        last = now;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** So long a pause up to a time, which may lie within another. */
  private void note(long pause, long now) {
    if (pause > WORTH_NOTING) {
      account.add(new HistoryEvent.MachinePaused(now - pause, now));
    }
  }
}
