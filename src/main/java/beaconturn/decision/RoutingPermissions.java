package beaconturn.decision;

/**
 * What the site allows a router to do.
 *
 * @param cancel whether attempts may be cancelled
 * @param peers whether routers may send messages to each other
 * @param probes whether servers may be sent health checks
 * @param retryAfter whether rejected clients may be told when to come back
 * @param hedging whether a request may have two attempts open at once
 * @param maxAttempts the most attempts of one request
 * @param maxRetryAfterNanos the latest that clients may be told to come back
 * @param maxRequestsPerConnection the most requests that share one connection
 * @param connectTimeoutNanos how long a connection may take to open
 * @param connectionIdleNanos a connection that is idle for so long is closed
 */
public record RoutingPermissions(
    boolean cancel,
    boolean peers,
    boolean probes,
    boolean retryAfter,
    boolean hedging,
    int maxAttempts,
    long maxRetryAfterNanos,
    int maxRequestsPerConnection,
    long connectTimeoutNanos,
    long connectionIdleNanos) {}
