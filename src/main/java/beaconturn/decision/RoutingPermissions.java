package beaconturn.decision;

/**
 * What the site allows a router to do; a connection that is idle for {@code connIdle} is closed.
 */
public record RoutingPermissions(
    boolean cancel,
    boolean peers,
    boolean probes,
    boolean retryAfter,
    boolean hedging,
    int maxAttempts,
    long maxRetryAfterNanos,
    int multiplex,
    long connectTimeoutNanos,
    long connectionIdleNanos) {}
