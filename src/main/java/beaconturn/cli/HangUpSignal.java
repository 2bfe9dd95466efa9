package beaconturn.cli;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/**
 * SIGHUP, which would end the JVM: it asks for a new reading of the configuration instead. The
 * JDK's only way to a signal is {@code sun.misc.Signal}, which the compiler warns of; so it is
 * called by its names.
 */
final class HangUpSignal {
  private static final Logger LOG = Logger.getLogger(HangUpSignal.class.getName());

  private HangUpSignal() {}

  /** From now on the action runs at each SIGHUP, on a thread of the JVM's own. */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object caught =
          Proxy.newProxyInstance(
              HangUpSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> run(action, method));
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), caught);
      // The JVM leaves a signal alone that was ignored when it began, and says so by what it
      // returns.
      if (handler.getField("SIG_IGN").get(null).equals(before)) {
        LOG.warning(
            "SIGHUP was ignored when this process began, as under nohup, and stays ignored: "
                + "a new configuration is taken only by a restart");
      }
    } catch (ReflectiveOperationException e) {
      // A JVM started with -Xrs, or one without this signal: all else works.
      LOG.warning("SIGHUP cannot be caught here: " + e);
    }
  }

  private static Object run(Runnable action, Method called) {
    if (called.getName().equals("handle")) {
      action.run();
    }
    return null;
  }
}
