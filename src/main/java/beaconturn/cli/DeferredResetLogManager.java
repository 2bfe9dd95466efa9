package beaconturn.cli;

import java.util.logging.LogManager;

/**
 * java.util.logging takes its handlers away as soon as a stop begins, while the router still
 * drains; this log manager keeps them until {@link #finish}. Its class must not be loaded before it
 * is named to the JVM.
 */
public final class DeferredResetLogManager extends LogManager {
  private volatile boolean finished;

  /** Made by java.util.logging itself. */
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
