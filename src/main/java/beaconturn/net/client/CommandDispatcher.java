package beaconturn.net.client;

import beaconturn.core.RoutingMessage;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.util.List;
import java.util.Locale;
import java.util.logging.Logger;

/**
 * Turns the commands of one client into requests, submits them to the routing thread, and reports
 * requests whose client has disconnected. Keeps the requests that have no response yet.
 */
final class CommandDispatcher {
  private static final Logger LOG = Logger.getLogger(CommandDispatcher.class.getName());

  /**
   * Retry delay for requests rejected during a graceful shutdown; another router serves the retry.
   */
  private static final long DRAINING_RETRY_AFTER_NANOS = 50_000_000;

  /** Retry delay for requests rejected for lack of memory; others complete meanwhile. */
  private static final long OUT_OF_MEMORY_RETRY_AFTER_NANOS = 100_000_000;

  /** Retry delay for commands of a client that has sent more than is kept for it. */
  private static final long BACKLOG_RETRY_AFTER_NANOS = 100_000_000;

  private final ConnectionContext context;
  private final ConnectionState state;
  private final ClientWriter writer;
  private final ClientPresence clientPresence;
  private final WaitingResponses waitingResponses;
  private final PendingRequests pending = new PendingRequests();

  /**
   * Creates a dispatcher.
   *
   * @param clientPresence whether the client is known to be connected; nothing is forwarded
   *     otherwise
   * @param writeLater has the responses written on another thread; never blocks
   */
  CommandDispatcher(
      ConnectionContext context,
      ConnectionState state,
      ClientWriter writer,
      ClientPresence clientPresence,
      Runnable writeLater) {
    this.context = context;
    this.state = state;
    this.writer = writer;
    this.clientPresence = clientPresence;
    this.waitingResponses =
        new WaitingResponses(
            writer, context.responseMemory().ofConnection(), context.clock(), writeLater);
  }

  /**
   * Assigns a command its position among the responses, and submits the command if it is a request.
   * Poller thread only.
   *
   * @throws InvalidCommandException if its arguments are invalid; no position is assigned then
   */
  void dispatch(ReceivedCommand command) throws InvalidCommandException {
    RespClientRequest request;
    try {
      request = parse(command);
    } catch (InvalidCommandException e) {
      command.releaseMemory();
      throw e;
    }
    if (request == null) {
      command.releaseMemory();
    } else {
      submit(request, command);
    }
  }

  /** Returns the command as a request, or null if it was none and has been answered. */
  private RespClientRequest parse(ReceivedCommand command) throws InvalidCommandException {
    List<RespValue> words = words(command.value());
    Slice name = ((RespValue.Bulk) words.get(0)).bytes();
    if (RequestParser.isRequest(name)) {
      return context.parser().get().parse(words, command.arrivedAtNanos(), context.pendingIds());
    }
    writer.enqueue(ResponseSlot.of(localResponse(name.toString().toUpperCase(Locale.ROOT))));
    return null;
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

  private void submit(RespClientRequest request, ReceivedCommand command) {
    request.holdMemory(command.memory());
    request.onlyWhile(clientPresence);
    request.limitResponse(waitingResponses);
    if (!writer.enqueue(request)) {
      request.fill(ClientWriter.END_OF_OUTPUT);
      return;
    }
    pending.add(request);
    request.accepted();
    if (command.arrivedAtNanos() > state.drainingSinceNanos()) {
      reject(request, DRAINING_RETRY_AFTER_NANOS);
    } else if (command.outOfMemory()) {
      reject(request, OUT_OF_MEMORY_RETRY_AFTER_NANOS);
    } else if (!clientPresence.isKnown()) {
      reject(request, BACKLOG_RETRY_AFTER_NANOS);
    } else {
      context.routing().accept(new RoutingMessage.RequestReceived(request));
    }
  }

  /**
   * Rejects a command of a client that has sent more than is kept for it, whatever the command is,
   * so that all such commands have the same response. Poller thread only.
   */
  void rejectWaiting(ReceivedCommand command) {
    RequestParser parser = context.parser().get();
    long retryAfterNanos = parser.mayStateRetryAfter() ? BACKLOG_RETRY_AFTER_NANOS : 0;
    try {
      List<RespValue> words = words(command.value());
      if (RequestParser.isRequest(((RespValue.Bulk) words.get(0)).bytes())) {
        RespClientRequest request =
            parser.parse(words, command.arrivedAtNanos(), context.pendingIds());
        request.accepted();
        request.reject(retryAfterNanos);
      }
    } catch (InvalidCommandException e) {
      // An invalid command is rejected like the others.
      LOG.finer(e.getMessage());
    }
    command.releaseMemory();
    writer.enqueueRepeatable(RespClientRequest.rejection(retryAfterNanos));
  }

  private static void reject(RespClientRequest request, long retryAfterNanos) {
    boolean mayStateRetryAfter = request.settings().permissions().retryAfter();
    request.reject(mayStateRetryAfter ? retryAfterNanos : 0);
  }

  private Slice localResponse(String commandName) throws InvalidCommandException {
    return switch (commandName) {
      case "PING" ->
          context.lifecycle().ready()
              ? RespWriter.simple("PONG")
              : RespWriter.error("ERR starting");
      case "CLIENT", "SELECT" -> RespWriter.simple("OK");
      default -> throw new InvalidCommandException("unknown command");
    };
  }

  /** Whether a request has no response. For any thread. */
  boolean hasUnanswered() {
    return pending.hasUnanswered();
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
