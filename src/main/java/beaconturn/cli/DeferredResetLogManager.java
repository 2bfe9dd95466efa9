package beaconturn.cli;

import java.util.logging.LogManager;

/**
 * Log manager that ignores resets until {@link #finish}. The default log manager removes all
 * handlers as soon as the JVM shuts down, while the router still drains. This class must not be
 * loaded before the system property {@code java.util.logging.manager} names it.
 */
public final class DeferredResetLogManager extends LogManager {
  private volatile boolean finished;

  /** Called by java.util.logging. */
  public DeferredResetLogManager() {
    super();
  }

  void finish() {
    finished = true;
    reset();
  }

  @Override
  public void reset() {
    if (finished) {
      super.reset();
    }
  }
}
