package beaconturn.net.client;

import beaconturn.core.RoutingMessage;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.util.List;
import java.util.Locale;

/**
 * Turns the commands of one client into requests, submits them to the routing thread, and reports
 * requests whose client has disconnected. Keeps the requests that have no response yet.
 */
final class CommandDispatcher {
  /**
   * Retry delay for requests rejected during a graceful shutdown; another router serves the retry.
   */
  private static final long DRAINING_RETRY_AFTER_NANOS = 50_000_000;

  private final ConnectionContext context;
  private final ConnectionState state;
  private final ClientWriter writer;
  private final PendingRequests pending = new PendingRequests();

  CommandDispatcher(ConnectionContext context, ConnectionState state, ClientWriter writer) {
    this.context = context;
    this.state = state;
    this.writer = writer;
  }

  /**
   * Assigns a command its position among the responses, and submits the command if it is a request.
   * Poller thread only.
   *
   * @param arrivedAtNanos when the command's last byte arrived
   * @throws InvalidCommandException if its arguments are invalid; no position is assigned then
   */
  void dispatch(RespValue command, long arrivedAtNanos) throws InvalidCommandException {
    List<RespValue> words = words(command);
    Slice name = ((RespValue.Bulk) words.get(0)).bytes();
    if (RequestParser.isRequest(name)) {
      submit(
          context.parser().get().parse(words, arrivedAtNanos, context.pendingIds()),
          arrivedAtNanos);
    } else {
      writer.enqueue(ResponseSlot.of(localResponse(name.toString().toUpperCase(Locale.ROOT))));
    }
  }

  private static List<RespValue> words(RespValue command) throws InvalidCommandException {
    if (command instanceof RespValue.Array array
        && array.items() != null
        && !array.items().isEmpty()
        && array.items().get(0) instanceof RespValue.Bulk name
        && name.bytes() != null) {
      return array.items();
    }
    throw new InvalidCommandException("expected a command");
  }

  private void submit(RespClientRequest request, long arrivedAtNanos) {
    if (!writer.enqueue(request)) {
      request.fill(ClientWriter.END_OF_OUTPUT);
      return;
    }
    pending.add(request);
    request.accepted();
    if (arrivedAtNanos > state.drainingSinceNanos()) {
      boolean mayStateRetryAfter = request.settings().permissions().retryAfter();
      request.reject(mayStateRetryAfter ? DRAINING_RETRY_AFTER_NANOS : 0);
    } else {
      context.routing().accept(new RoutingMessage.RequestReceived(request));
    }
  }

  private Slice localResponse(String commandName) {
    return switch (commandName) {
      case "PING" ->
          context.lifecycle().ready()
              ? RespWriter.simple("PONG")
              : RespWriter.error("ERR starting");
      case "CLIENT", "SELECT" -> RespWriter.simple("OK");
      default -> RespWriter.error("ERR unknown command");
    };
  }

  /** Returns the requests without a response. For any thread. */
  List<RespClientRequest> unansweredRequests() {
    return pending.unanswered();
  }

  /** Releases the requests that have their response. For any thread. */
  void removeAnswered() {
    pending.removeAnswered();
  }

  /** Fails all pending requests. Poller thread only. */
  void failAll() {
    for (RespClientRequest request : pending.unanswered()) {
      request.fail();
      context.routing().accept(new RoutingMessage.ClientDisconnected(request));
    }
  }

  /** Cancels requests whose client has disconnected. Not for the routing thread. */
  void abandon(List<RespClientRequest> requests) {
    for (RespClientRequest request : requests) {
      // Marked first: threads that write to cache servers skip requests that are not awaited.
      request.abandoned();
      context.routing().accept(new RoutingMessage.ClientDisconnected(request));
    }
  }
}
