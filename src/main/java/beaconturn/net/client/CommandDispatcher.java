package beaconturn.net.client;

import beaconturn.core.RoutingMessage;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.util.List;
import java.util.Locale;

/**
 * Turns one client's commands into requests, hands them over to the routing thread, and tells it of
 * those that nobody waits for any more. Keeps the requests that have no answer yet.
 */
final class CommandDispatcher {
  /**
   * When a client that is rejected at a planned stop may come again: another router answers it
   * then.
   */
  private static final long RETRY_ELSEWHERE_NANOS = 50_000_000;

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
   * Gives a command its place among the answers, and hands it over if it is a request. Poller
   * thread only.
   *
   * @param arrivedAtNanos when the command's last byte came
   * @throws InvalidCommandException if its words or values are wrong; it has no place then
   */
  void dispatch(RespValue command, long arrivedAtNanos) throws InvalidCommandException {
    List<RespValue> words = words(command);
    Slice name = ((RespValue.Bulk) words.get(0)).bytes();
    if (RequestParser.isRequest(name)) {
      handOver(
          context.parser().get().parse(words, arrivedAtNanos, context.pendingIds()),
          arrivedAtNanos);
    } else {
      writer.take(ResponseSlot.of(answerItself(name.toString().toUpperCase(Locale.ROOT))));
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

  private void handOver(RespClientRequest request, long arrivedAtNanos) {
    if (!writer.take(request)) {
      request.fill(ClientWriter.END);
      return;
    }
    pending.add(request);
    request.taken();
    if (arrivedAtNanos > state.drainingSinceNanos()) {
      boolean mayTellWhen = request.settings().permissions().retryAfter();
      request.reject(mayTellWhen ? RETRY_ELSEWHERE_NANOS : 0);
    } else {
      context.routing().accept(new RoutingMessage.RequestReceived(request));
    }
  }

  private Slice answerItself(String commandName) {
    return switch (commandName) {
      case "PING" ->
          context.lifecycle().ready()
              ? RespWriter.simple("PONG")
              : RespWriter.error("ERR starting");
      case "CLIENT", "SELECT" -> RespWriter.simple("OK");
      default -> RespWriter.error("ERR unknown command");
    };
  }

  /** The requests that have no answer. For any thread. */
  List<RespClientRequest> unanswered() {
    return pending.unanswered();
  }

  /** Keeps nothing of the requests that have their answers. For any thread. */
  void forgetAnswered() {
    pending.forgetAnswered();
  }

  /** Answers all that is open as failed. Poller thread only. */
  void failAll() {
    for (RespClientRequest request : pending.unanswered()) {
      request.fail();
      context.routing().accept(new RoutingMessage.ClientDisconnected(request));
    }
  }

  /** Calls the requests off: nobody waits for them any more. Not for the routing thread. */
  void abandon(List<RespClientRequest> requests) {
    for (RespClientRequest request : requests) {
      // First what the threads that write to cache servers look at.
      request.abandoned();
      context.routing().accept(new RoutingMessage.ClientDisconnected(request));
    }
  }
}
