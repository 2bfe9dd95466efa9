package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Dependencies that all client connections of a router share.
 *
 * @param parser supplies the parser for the active settings
 * @param clock the router's clock
 * @param lifecycle whether the router is ready
 * @param routing accepts messages for the routing thread; may block while its queue is full
 * @param poller the thread that reads from all clients
 * @param pendingIds the ids of the requests without a response
 * @param largeRequestMemory the memory for large requests
 * @param responseMemory the memory for large responses that wait
 * @param pipelineLimit limits the commands in flight
 * @param eventLog logs rejected commands and closes
 * @param onReleased notified of a closed connection once its descriptor is free
 */
public record ConnectionContext(
    Supplier<RequestParser> parser,
    Clock clock,
    Lifecycle lifecycle,
    Consumer<RoutingMessage> routing,
    ClientPoller poller,
    PendingRequestIds pendingIds,
    LargeRequestMemory largeRequestMemory,
    ResponseMemory responseMemory,
    PipelineLimit pipelineLimit,
    ClientEventLog eventLog,
    Consumer<ClientConnection> onReleased) {}
