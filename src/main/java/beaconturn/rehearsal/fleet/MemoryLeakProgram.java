package beaconturn.rehearsal.fleet;

import java.lang.reflect.InvocationTargetException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Runs a program's main class and leaks memory beside it, to rehearse a release that leaks memory.
 */
public final class MemoryLeakProgram {
  private static final int BYTES_PER_KB = 1024;
  private static final int STEPS_PER_SECOND = 10;
  private static final int MAIN_CLASS_INDEX = 3;
  private static final long STEP_MILLIS = 100;
  private static final List<byte[]> LEAKED_BLOCKS = new ArrayList<>();

  private MemoryLeakProgram() {}

  /**
   * Runs the program.
   *
   * @param args delay in milliseconds, rate in kB per second, limit in kB, main class, then the
   *     arguments of that class
   */
  public static void main(String[] args) throws ReflectiveOperationException {
    long delayMillis = Long.parseLong(args[0]);
    int stepBytes = Integer.parseInt(args[1]) * BYTES_PER_KB / STEPS_PER_SECOND;
    long limitBytes = Long.parseLong(args[2]) * BYTES_PER_KB;
    Thread leak = new Thread(() -> leak(delayMillis, stepBytes, limitBytes), "leak");
    leak.setDaemon(true);
    leak.start();
    try {
      Class.forName(args[MAIN_CLASS_INDEX])
          .getMethod("main", String[].class)
          .invoke(null, (Object) Arrays.copyOfRange(args, MAIN_CLASS_INDEX + 1, args.length));
    } catch (InvocationTargetException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  private static void leak(long delayMillis, int stepBytes, long limitBytes) {
    try {
      Thread.sleep(delayMillis);
      for (long leakedBytes = 0; leakedBytes < limitBytes; leakedBytes += stepBytes) {
        byte[] block = new byte[stepBytes];
        // Pages are resident only after they were written to.
        Arrays.fill(block, (byte) 1);
        LEAKED_BLOCKS.add(block);
        Thread.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
