package beaconturn.rehearsal.fleet;

import java.lang.reflect.InvocationTargetException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A program that leaks memory beside its work, for rehearsals of a release that does: so many kB a second, up
 * to so many, then the program's own class with its words.
 */
public final class Leaking {
    private static final int KILO = 1024;
    private static final int STEPS = 10;
    private static final int WORDS = 3;
    private static final long STEP_MILLIS = 100;
    private static final List<byte[]> LEAKED = new ArrayList<>();

    private Leaking() {
    }

    /** Rate, most, class, then the words for it. */
    public static void main(String[] args) throws ReflectiveOperationException {
        int step = Integer.parseInt(args[0]) * KILO / STEPS;
        long most = Long.parseLong(args[1]) * KILO;
        Thread leak = new Thread(() -> leak(step, most), "leak");
        leak.setDaemon(true);
        leak.start();
        try {
            Class.forName(args[2]).getMethod("main", String[].class).invoke(null,
                (Object) Arrays.copyOfRange(args, WORDS, args.length));
        } catch (InvocationTargetException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private static void leak(int step, long most) {
        try {
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
