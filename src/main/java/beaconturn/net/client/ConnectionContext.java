package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What all clients' connections share of the router round them.
 *
 * @param parser gives the parser for the settings in force
 * @param clock the router's clock
 * @param lifecycle whether the router is ready
 * @param routing takes messages for the routing thread; may wait for room
 * @param poller the thread that reads from all clients
 * @param pendingIds the ids of the requests that wait for their answer
 * @param largeRequests permits for large requests
 * @param eventLog the log of single events on connections
 * @param whenReleased told of a closed connection once its descriptor is free
 */
public record ConnectionContext(
    Supplier<RequestParser> parser,
    Clock clock,
    Lifecycle lifecycle,
    Consumer<RoutingMessage> routing,
    ClientPoller poller,
    PendingRequestIds pendingIds,
    Semaphore largeRequests,
    ClientEventLog eventLog,
    Consumer<ClientConnection> whenReleased) {}
