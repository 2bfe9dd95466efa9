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
 * Runs requests through a module of its own before the router says that it is ready: parsers,
 * decisions and writers are then compiled when the first client comes. All in memory, nothing is
 * sent to anybody.
 */
final class StartupWarmUp {
  private static final int ROUNDS = 120;
  private static final long STEP = 5_000_000;
  private static final long MILLI = 1_000_000;
  private static final int KEYS = 500;
  private static final String ANSWER = "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n";

  private final RouterSettings settings;
  private final RequestParser requests;
  private final CacheResponseReader replies;
  private final RespReader resp = new RespReader(RespReader.LONGEST_VALUE);
  private final Queue<OutboundAttempt> sent = new ArrayDeque<>();
  private final RoutingEngine host;
  private final PendingRequestIds ids = new PendingRequestIds();
  private long now = 1;

  StartupWarmUp(RouterConfig config) {
    this.settings = config.settings();
    this.requests = new RequestParser(settings, RequestMetrics.NONE);
    this.replies = new CacheResponseReader(settings.routing());
    this.host =
        new RoutingEngine(
            settings.routing(), config.seed(), () -> now, new NoFleet(), new NoList());
    host.handle(new RoutingMessage.EndpointUpdateReceived(config.known()));
  }

  /** Runs all rounds; each ends with the answers to what was sent two rounds before. */
  void run() throws ProtocolException, InvalidCommandException {
    for (int i = 0; i < ROUNDS; i++) {
      now += STEP;
      host.runDue();
      host.handle(new RoutingMessage.RequestReceived(requests.parse(command(i).items(), now, ids)));
      while (sent.size() > 2) {
        answer(sent.remove());
      }
    }
  }

  private RespValue.Array command(int round) throws ProtocolException {
    String name = settings.classNames().get(round % settings.classNames().size());
    RequestClass type = settings.routing().classes().get(round % settings.classNames().size());
    String attributes =
        "c=" + name + ",k=" + round + ",d=" + Math.max(1, type.deadlineNanos() / MILLI / 2);
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

  private static String hex(long number) {
    return HexFormat.of().toHexDigits(number);
  }

  private void answer(OutboundAttempt attempt) throws ProtocolException {
    attempt.request().encode(1);
    host.handle(new RoutingMessage.AttemptEnded(attempt, replies.read(parse(ANSWER), now)));
  }

  private RespValue parse(String text) throws ProtocolException {
    InputBuffer in = new InputBuffer();
    Slice bytes = Slice.of(text);
    in.room();
    System.arraycopy(bytes.array(), 0, in.array(), in.end(), bytes.length());
    in.filled(bytes.length());
    return resp.next(in);
  }

  private final class NoFleet implements CacheServerClients {
    @Override
    public boolean send(OutboundAttempt attempt) {
      return sent.add(attempt);
    }

    @Override
    public void abort(OutboundAttempt attempt) {
      sent.remove(attempt);
    }

    @Override
    public void closeIdle(long server) {
      sent.removeIf(a -> a.serverId() == server);
    }

    @Override
    public void follow(EndpointUpdate news) {
      sent.clear();
    }

    @Override
    public boolean override(long serverId, boolean excluded, boolean mayBeUnlisted) {
      return mayBeUnlisted;
    }
  }

  /** The warm-up's module keeps to the list that it was given. */
  private static final class NoList implements EndpointDiscovery {
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
