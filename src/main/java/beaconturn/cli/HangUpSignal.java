package beaconturn.cli;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/**
 * Installs a handler for SIGHUP, which would otherwise terminate the JVM. Signal handlers require
 * {@code sun.misc.Signal}, which is accessed by reflection because the compiler warns of it.
 */
final class HangUpSignal {
  private static final Logger LOG = Logger.getLogger(HangUpSignal.class.getName());

  private HangUpSignal() {}

  /** Runs the action on each SIGHUP from now on, on a thread of the JVM. */
  static void handle(Runnable action) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object handlerProxy =
          Proxy.newProxyInstance(
              HangUpSignal.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (proxy, method, arguments) -> runAction(action, method));
      Object previousHandler =
          signalClass
              .getMethod("handle", signalClass, handlerClass)
              .invoke(
                  null, signalClass.getConstructor(String.class).newInstance("HUP"), handlerProxy);
      // The JVM does not handle a signal that was ignored when it started, and returns SIG_IGN.
      if (handlerClass.getField("SIG_IGN").get(null).equals(previousHandler)) {
        LOG.warning(
            "SIGHUP was ignored when this process started, as under nohup, and stays ignored: "
                + "a changed configuration takes effect only after a restart");
      }
    } catch (ReflectiveOperationException e) {
      // The JVM was started with -Xrs or lacks this signal; only the reload is unavailable.
      LOG.warning("cannot install a handler for SIGHUP: " + e);
    }
  }

  private static Object runAction(Runnable action, Method method) {
    if (method.getName().equals("handle")) {
      action.run();
    }
    return null;
  }
}
