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
 * Runs requests through a separate routing engine before the router serves, so that parsers,
 * decisions and encoders are compiled when the first client connects. Works in memory and sends
 * nothing. For the thread that starts the router.
 */
final class StartupWarmUp {
  private static final int ROUNDS = 120;
  private static final long ROUND_INTERVAL_NANOS = 5_000_000;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int KEY_COUNT = 500;

  /** Attempts that remain in flight while the next request arrives, as in service. */
  private static final int ATTEMPTS_IN_FLIGHT = 2;

  private static final String RESPONSE = "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n";

  private final RouterSettings settings;
  private final RequestParser requestParser;
  private final CacheResponseReader responseReader;
  private final RespReader respReader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private final Queue<OutboundAttempt> attemptsInFlight = new ArrayDeque<>();
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
            new StaticDiscovery());
    engine.handle(new RoutingMessage.EndpointUpdateReceived(config.initialEndpoints()));
  }

  /**
   * Runs all rounds; each ends with the responses to requests sent two rounds before.
   *
   * @throws ProtocolException never, as the generated messages are well-formed
   * @throws InvalidCommandException never, as long as the settings have a class
   */
  void run() throws ProtocolException, InvalidCommandException {
    for (int round = 0; round < ROUNDS; round++) {
      nowNanos += ROUND_INTERVAL_NANOS;
      engine.runDueTimers();
      engine.handle(
          new RoutingMessage.RequestReceived(
              requestParser.parse(command(round).items(), nowNanos, pendingIds)));
      while (attemptsInFlight.size() > ATTEMPTS_IN_FLIGHT) {
        respond(attemptsInFlight.remove());
      }
    }
  }

  private RespValue.Array command(int round) throws ProtocolException {
    String attributes = attributes(round);
    return (RespValue.Array)
        parse(
            "*4\r\n$5\r\nC.GET\r\n$16\r\n"
                + hex(round % KEY_COUNT + 1)
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

  private void respond(OutboundAttempt attempt) throws ProtocolException {
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
      return attemptsInFlight.add(attempt);
    }

    @Override
    public void abort(OutboundAttempt attempt) {
      attemptsInFlight.remove(attempt);
    }

    @Override
    public void closeIdle(long serverId) {
      attemptsInFlight.removeIf(attempt -> attempt.serverId() == serverId);
    }

    @Override
    public void applyUpdate(EndpointUpdate update) {
      attemptsInFlight.clear();
    }

    @Override
    public boolean override(long serverId, boolean excluded, boolean mayBeUnlisted) {
      return mayBeUnlisted;
    }
  }

  /** Discovery whose endpoint list never changes. */
  private static final class StaticDiscovery implements EndpointDiscovery {
    @Override
    public void watch(boolean on) {
      // Nothing to watch.
    }

    @Override
    public void fetch() {
      // Nothing to fetch.
    }
  }
}
