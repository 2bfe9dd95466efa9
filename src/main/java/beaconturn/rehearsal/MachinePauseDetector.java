package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Records when this process did not run, when the stand-ins' thread was behind, and when the host
 * of a virtual machine took a processor away, so that delays at these times are not attributed to
 * the routers.
 */
final class MachinePauseDetector {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long STEP_NANOS = 5 * NANOS_PER_MILLI;
  private static final long MIN_PAUSE_NANOS = 5 * NANOS_PER_MILLI;

  /** Steps between checks of stolen time, which Linux reports in ticks of 10 ms. */
  private static final int STEPS_PER_STOLEN_TIME_CHECK = 4;

  private final Clock clock;
  private final History history;
  private final Consumer<Runnable> standInsExecutor;
  private final StolenTime stolenTime = new StolenTime();
  private final AtomicBoolean probePending = new AtomicBoolean();
  private volatile boolean stopped;

  /**
   * Creates a detector that is not started yet.
   *
   * @param standInsExecutor runs a task on the stand-ins' thread as soon as possible
   */
  MachinePauseDetector(Clock clock, History history, Consumer<Runnable> standInsExecutor) {
    this.clock = clock;
    this.history = history;
    this.standInsExecutor = standInsExecutor;
  }

  void start() {
    Thread thread = new Thread(this::run, "pauses");
    thread.setDaemon(true);
    thread.setPriority(Thread.MAX_PRIORITY);
    thread.start();
  }

  void stop() {
    stopped = true;
  }

  private void run() {
    try {
      stolenTime.nanosSinceLastCall();
      long lastNanos = clock.now();
      for (int step = 1; !stopped; step++) {
        Thread.sleep(STEP_NANOS / NANOS_PER_MILLI);
        long nowNanos = clock.now();
        recordPause(nowNanos - lastNanos - STEP_NANOS, nowNanos);
        if (step % STEPS_PER_STOLEN_TIME_CHECK == 0) {
          recordPause(stolenTime.nanosSinceLastCall(), nowNanos);
        }
        if (probePending.compareAndSet(false, true)) {
          standInsExecutor.accept(
              () -> {
                recordPause(clock.now() - nowNanos, clock.now());
                probePending.set(false);
              });
        }
        lastNanos = nowNanos;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Records a pause that ended at a time if the pause is long enough; pauses may overlap. */
  private void recordPause(long pauseNanos, long nowNanos) {
    if (pauseNanos > MIN_PAUSE_NANOS) {
      history.add(new HistoryEvent.MachinePaused(nowNanos - pauseNanos, nowNanos));
    }
  }
}
