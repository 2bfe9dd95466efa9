package beaconturn.net;

import beaconturn.core.Clock;
import java.util.function.LongSupplier;

/**
 * Notices that this process stood still, and tells how much processor time went by meanwhile: next to none
 * says that it was kept from running, much says that the JVM itself was at work. For one thread.
 */
final class Pauses {
    private static final long MILLI = 1_000_000;
    private static final long WORTH_TELLING = 500 * MILLI;
    private final Clock clock;
    private final LongSupplier processorTime;
    private long lookedAt;
    private long usedThen;

    /** {@code processorTime} is what the process has used so far, in nanoseconds. */
    Pauses(Clock clock, LongSupplier processorTime) {
        this.clock = clock;
        this.processorTime = processorTime;
        this.lookedAt = clock.now();
        this.usedThen = processorTime.getAsLong();
    }

    /** As the kernel accounts for this process; 0 where it does not tell. */
    static long ownProcessorTime() {
        return ProcessHandle.current().info().totalCpuDuration().map(d -> d.toNanos()).orElse(0L);
    }

    /** What there is to tell, or null; to be called far more often than a pause is worth telling. */
    String look() {
        long now = clock.now();
        long used = processorTime.getAsLong();
        String told = now - lookedAt <= WORTH_TELLING ? null : "stood still for " + (now - lookedAt) / MILLI
            + " ms, with " + (used - usedThen) / MILLI + " ms of processor time";
        lookedAt = now;
        usedThen = used;
        return told;
    }
}
