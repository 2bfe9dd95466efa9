package beaconturn.cli;

import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** The log: a line a record on standard error, to the very end of a planned stop. */
final class Logging {
  private static final String MANAGER = "beaconturn.cli.DeferredResetLogManager";

  private Logging() {}

  /** Installs the log; called before the first logger is made. */
  static void start() {
    System.setProperty("java.util.logging.manager", MANAGER);
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(new LineHandler(System.err));
  }

  /** Writes what is left and lets the log manager end; nothing is logged after it. */
  static void finish() {
    if (LogManager.getLogManager() instanceof DeferredResetLogManager manager) {
      manager.finish();
    }
  }
}
