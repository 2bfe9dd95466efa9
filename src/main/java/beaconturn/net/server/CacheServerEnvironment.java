package beaconturn.net.server;

import beaconturn.core.Clock;
import beaconturn.core.RoutingMessage;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.stats.RequestMetrics;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The components that the cache servers of one router share. Safe for any thread.
 *
 * @param clock the router's clock
 * @param routingThread receives results and starts of streamed responses; may block while its
 *     mailbox is full
 * @param connectionLimit limits the open connections to all cache servers together
 * @param responseReader maps responses to attempt results
 * @param responseMemory limits the memory of the responses that are received
 * @param connectTimeoutNanos the timeout for opening a connection
 * @param idleTimeoutNanos how long a connection may stay idle before it is closed
 * @param metrics counts the attempts that were written
 * @param thread runs the actors of all cache servers
 * @param workers provides a thread for each attempt in flight
 * @param mayWrite whether the current configuration still permits writing an attempt
 */
public record CacheServerEnvironment(
    Clock clock,
    Consumer<RoutingMessage> routingThread,
    ConnectionLimit connectionLimit,
    CacheResponseReader responseReader,
    ReceivedResponseMemory responseMemory,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    RequestMetrics metrics,
    CacheServerThread thread,
    WorkerPool workers,
    BooleanSupplier mayWrite) {}
