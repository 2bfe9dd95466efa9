package beaconturn.net.server;

import beaconturn.core.Clock;
import beaconturn.core.RoutingMessage;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.stats.RequestMetrics;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * What the cache servers of one router share. Safe for any thread.
 *
 * @param clock the router's clock
 * @param routingThread takes attempts' ends and first bytes; may make the caller wait for room
 * @param connectionLimit bounds the open connections to all cache servers together
 * @param responseReader turns responses into attempt results
 * @param connectTimeoutNanos the longest that a connection may take to come up
 * @param idleTimeoutNanos a connection idle for longer is closed
 * @param metrics counts the attempts that were written
 * @param thread runs the actors of all cache servers
 * @param workers lends a thread to each attempt that is out
 * @param mayWrite whether the configuration in force still permits writing an attempt
 */
public record CacheServerEnvironment(
    Clock clock,
    Consumer<RoutingMessage> routingThread,
    ConnectionLimit connectionLimit,
    CacheResponseReader responseReader,
    long connectTimeoutNanos,
    long idleTimeoutNanos,
    RequestMetrics metrics,
    CacheServerThread thread,
    WorkerPool workers,
    BooleanSupplier mayWrite) {}
