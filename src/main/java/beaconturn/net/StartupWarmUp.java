package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.EndpointDiscovery;
import beaconturn.core.EndpointUpdate;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RouterSettings;
import beaconturn.core.RoutingEngine;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.RequestClass;
import beaconturn.net.client.InvalidCommandException;
import beaconturn.net.client.PendingRequestIds;
import beaconturn.net.client.RequestParser;
import beaconturn.net.server.CacheResponseReader;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestMetrics;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.Queue;

/**
 * Runs requests through a routing engine of its own before the router serves: parsers, decisions
 * and writers are then compiled when the first client comes. All in memory, nothing is sent to
 * anybody. For the thread that starts the router.
 */
final class StartupWarmUp {
  private static final int ROUNDS = 120;
  private static final long ROUND_NANOS = 5_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int KEYS = 500;

  /** Attempts that stay out while the next request comes, as in service. */
  private static final int ATTEMPTS_LEFT_OUT = 2;

  private static final String RESPONSE = "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n";

  private final RouterSettings settings;
  private final RequestParser requestParser;
  private final CacheResponseReader responseReader;
  private final RespReader respReader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private final Queue<OutboundAttempt> attemptsOut = new ArrayDeque<>();
  private final RoutingEngine engine;
  private final PendingRequestIds pendingIds = new PendingRequestIds();
  private long nowNanos = 1;

  StartupWarmUp(RouterConfig config) {
    this.settings = config.settings();
    this.requestParser = new RequestParser(settings, RequestMetrics.NONE);
    this.responseReader = new CacheResponseReader(settings.routing());
    this.engine =
        new RoutingEngine(
            settings.routing(),
            config.seed(),
            () -> nowNanos,
            new InMemoryCacheServers(),
            new UnchangingDiscovery());
    engine.handle(new RoutingMessage.EndpointUpdateReceived(config.initialEndpoints()));
  }

  /**
   * Runs all rounds; each ends with the answers to what was sent two rounds before.
   *
   * @throws ProtocolException never, as long as what is written here can be read
   * @throws InvalidCommandException never, as long as the settings name a class
   */
  void run() throws ProtocolException, InvalidCommandException {
    for (int round = 0; round < ROUNDS; round++) {
      nowNanos += ROUND_NANOS;
      engine.runDueTimers();
      engine.handle(
          new RoutingMessage.RequestReceived(
              requestParser.parse(command(round).items(), nowNanos, pendingIds)));
      while (attemptsOut.size() > ATTEMPTS_LEFT_OUT) {
        answer(attemptsOut.remove());
      }
    }
  }

  private RespValue.Array command(int round) throws ProtocolException {
    String attributes = attributes(round);
    return (RespValue.Array)
        parse(
            "*4\r\n$5\r\nC.GET\r\n$16\r\n"
                + hex(round % KEYS + 1)
                + "\r\n$16\r\n"
                + hex(round)
                + "\r\n$"
                + attributes.length()
                + "\r\n"
                + attributes
                + "\r\n");
  }

  private String attributes(int round) {
    int classIndex = round % settings.classNames().size();
    String className = settings.classNames().get(classIndex);
    RequestClass requestClass = settings.routing().classes().get(classIndex);
    long deadlineMillis = Math.max(1, requestClass.deadlineNanos() / NANOS_PER_MILLI / 2);
    return "c=" + className + ",k=" + round + ",d=" + deadlineMillis;
  }

  private static String hex(long number) {
    return HexFormat.of().toHexDigits(number);
  }

  private void answer(OutboundAttempt attempt) throws ProtocolException {
    attempt.request().encode(1);
    engine.handle(
        new RoutingMessage.AttemptCompleted(
            attempt, responseReader.read(parse(RESPONSE), nowNanos)));
  }

  private RespValue parse(String text) throws ProtocolException {
    InputBuffer input = new InputBuffer();
    Slice bytes = Slice.of(text);
    input.ensureRoom();
    System.arraycopy(bytes.array(), 0, input.array(), input.end(), bytes.length());
    input.filled(bytes.length());
    return respReader.next(input);
  }

  /** Cache servers that hold every attempt until it is answered here. */
  private final class InMemoryCacheServers implements CacheServerClients {
    @Override
    public boolean send(OutboundAttempt attempt) {
      return attemptsOut.add(attempt);
    }

    @Override
    public void abort(OutboundAttempt attempt) {
      attemptsOut.remove(attempt);
    }

    @Override
    public void closeIdle(long serverId) {
      attemptsOut.removeIf(attempt -> attempt.serverId() == serverId);
    }

    @Override
    public void applyUpdate(EndpointUpdate update) {
      attemptsOut.clear();
    }

    @Override
    public boolean override(long serverId, boolean excluded, boolean mayBeUnlisted) {
      return mayBeUnlisted;
    }
  }

  /** The warm-up's engine keeps to the list that it was given. */
  private static final class UnchangingDiscovery implements EndpointDiscovery {
    @Override
    public void watch(boolean on) {
      // The list stays as it is.
    }

    @Override
    public void fetch() {
      // Nor is it asked for whole.
    }
  }
}
