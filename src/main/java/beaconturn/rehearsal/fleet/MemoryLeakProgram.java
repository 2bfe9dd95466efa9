package beaconturn.rehearsal.fleet;

import java.lang.reflect.InvocationTargetException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A program that leaks memory beside its work, for rehearsals of a release that does: after so many
 * milliseconds so many kB a second, up to so many, beside the program's own class with its words.
 */
public final class MemoryLeakProgram {
  private static final int KILO = 1024;
  private static final int STEPS = 10;
  private static final int MAIN = 3;
  private static final long STEP_MILLIS = 100;
  private static final List<byte[]> LEAKED = new ArrayList<>();

  private MemoryLeakProgram() {}

  /** Wait, rate, most, class, then the words for it. */
  public static void main(String[] args) throws ReflectiveOperationException {
    long after = Long.parseLong(args[0]);
    int step = Integer.parseInt(args[1]) * KILO / STEPS;
    long most = Long.parseLong(args[2]) * KILO;
    Thread leak = new Thread(() -> leak(after, step, most), "leak");
    leak.setDaemon(true);
    leak.start();
    try {
      Class.forName(args[MAIN])
          .getMethod("main", String[].class)
          .invoke(null, (Object) Arrays.copyOfRange(args, MAIN + 1, args.length));
    } catch (InvocationTargetException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  private static void leak(long after, int step, long most) {
    try {
      Thread.sleep(after);
      for (long all = 0; all < most; all += step) {
        byte[] bytes = new byte[step];
        // Memory that was never written to is not resident.
        Arrays.fill(bytes, (byte) 1);
        LEAKED.add(bytes);
        Thread.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
