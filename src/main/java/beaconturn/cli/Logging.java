package beaconturn.cli;

import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sets up logging to standard error, one line per record, until the end of a graceful shutdown. */
final class Logging {
  private static final String LOG_MANAGER_CLASS = "beaconturn.cli.DeferredResetLogManager";

  private Logging() {}

  /** Installs the log manager and handler; must be called before the first logger is created. */
  static void start() {
    System.setProperty("java.util.logging.manager", LOG_MANAGER_CLASS);
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(new LineHandler(System.err));
  }

  /** Flushes and closes the log; later records are discarded. */
  static void finish() {
    if (LogManager.getLogManager() instanceof DeferredResetLogManager manager) {
      manager.finish();
    }
  }
}
