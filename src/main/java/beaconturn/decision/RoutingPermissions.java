package beaconturn.decision;

/**
 * What the deployment permits a router to do.
 *
 * @param cancel whether attempts may be cancelled
 * @param peers whether routers may send messages to each other
 * @param probes whether health checks may be sent to servers
 * @param retryAfter whether rejected clients may be given a retry delay
 * @param hedging whether a request may have two open attempts at once
 * @param maxAttempts maximum number of attempts per request
 * @param maxRetryAfterNanos longest retry delay given to clients
 * @param maxRequestsPerConnection maximum number of requests in flight on one connection
 * @param connectTimeoutNanos how long opening a connection may take
 * @param connectionIdleNanos how long an idle connection stays open
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
