package beaconturn.core;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Log lines of single events of a kind that may come thousands of times a second: some at once, then a few
 * a second; the next line says how many were left out before it. What must never be left out is logged
 * elsewhere.
 */
public final class LogBudget {
    private static final double SECOND = 1e9;
    private final Logger log;
    private final int burst;
    private final double perSecond;
    // Guarded by this:
    private double tokens;
    private long refilledAt;
    private boolean begun;
    private long leftOut;

    /** A budget of so many lines at once and so many a second after that. */
    public LogBudget(Logger log, int burst, double perSecond) {
        this.log = log;
        this.burst = burst;
        this.perSecond = perSecond;
        this.tokens = burst;
    }

    /** Whether a line may be logged at that time, in nanoseconds; if not, it is counted as left out. */
    public synchronized boolean allows(long now) {
        if (begun) {
            tokens = Math.min(burst, tokens + Math.max(0, now - refilledAt) * perSecond / SECOND);
        }
        begun = true;
        refilledAt = now;
        if (tokens < 1) {
            leftOut++;
            return false;
        }
        tokens--;
        return true;
    }

    /** Logs a line that was allowed. */
    public void write(String line) {
        long before;
        synchronized (this) {
            before = leftOut;
            leftOut = 0;
        }
        log.log(Level.INFO, before == 0 ? line : line + " (" + before + " such lines left out before)");
    }
}
