package beaconturn.net;

import beaconturn.core.AttemptResult;
import beaconturn.core.CacheServerClients;
import beaconturn.core.Clock;
import beaconturn.core.EndpointDiscovery;
import beaconturn.core.EndpointUpdate;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingEngine;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.Idempotency;
import beaconturn.decision.RingRouter;
import beaconturn.decision.RoutingActions;
import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingPolicy;
import beaconturn.decision.RoutingSettings;
import beaconturn.net.client.ClientConnection;
import beaconturn.net.client.ConnectionContext;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Routers with a defect each, put in on purpose: what watches over routers must name every one of
 * them.
 */
public final class BrokenRouter implements RouterCustomization {
  private static final int SOME = 15;
  private static final long TOO_LONG = 60_000_000_000L;
  private final Defect defect;
  private int count;
  private Slice before;

  /** What is wrong with a router. */
  public enum Defect {
    /** Nothing: the same router as it should be. */
    NONE,
    /** Now and then a client gets its answer twice. */
    ANSWERS_TWICE,
    /** An unsafe request that may have run is sent again. */
    REPEATS_UNSAFE,
    /** News of drains are not heard. */
    IGNORES_DRAINS,
    /** Now and then a request is forgotten. */
    LOSES,
    /** Every cache server is taken for a warm one. */
    OVERRUNS_COLD,
    /** Now and then a client gets the answer of another. */
    SWAPS_ANSWERS,
    /** A command that is rejected ends its connection, whatever stands behind it. */
    ENDS_AT_REJECTION,
    /** Connections are ended over commands that have begun. */
    ENDS_OVER_COMMANDS
  }

  private BrokenRouter(Defect defect) {
    this.defect = defect;
  }

  /** A router with the defect; not started yet. */
  public static RouterServer of(Defect defect, RouterConfig config) throws IOException {
    return new RouterServer(
        new RouterInputs(
            config, () -> config, new Lifecycle(), new BrokenRouter(defect), null, null));
  }

  @Override
  public ClientConnection connection(SocketChannel client, ConnectionContext site) {
    return switch (defect) {
      case ENDS_AT_REJECTION ->
          new ClientConnection(client, site) {
            @Override
            protected void respondWithError(String reason) {
              closeWithError(reason);
            }
          };
      case ENDS_OVER_COMMANDS ->
          new ClientConnection(client, site) {
            @Override
            public long partialCommandSinceNanos() {
              // Long ago, however soon it is.
              return super.partialCommandSinceNanos() - TOO_LONG;
            }

            @Override
            protected boolean mayCloseOverPartialCommand(boolean commandIsReason) {
              return true;
            }
          };
      default -> new ClientConnection(client, site);
    };
  }

  @Override
  public Consumer<RoutingMessage> inbox(Consumer<RoutingMessage> mailbox) {
    return message -> {
      RoutingMessage passed = spoil(message);
      if (passed != null) {
        mailbox.accept(passed);
      }
    };
  }

  private synchronized RoutingMessage spoil(RoutingMessage message) {
    if (message instanceof RoutingMessage.RequestReceived && defect == Defect.LOSES) {
      return ++count % SOME == 0 ? null : message;
    }
    if (message instanceof RoutingMessage.EndpointUpdateReceived news
        && defect == Defect.IGNORES_DRAINS) {
      // The sockets too: they would hold a send back that the module should not have made.
      return new RoutingMessage.EndpointUpdateReceived(
          new EndpointUpdate(
              news.update().version(),
              news.update().kind(),
              news.update().endpoints().stream().map(BrokenRouter::undrained).toList()));
    }
    if (!(message instanceof RoutingMessage.AttemptCompleted ended)
        || ended.result().outcome() != AttemptOutcome.OK) {
      return message;
    }
    Slice answer = ended.result().answer();
    Slice other = before;
    before = answer;
    if (++count % SOME != 0 || other == null) {
      return message;
    }
    return switch (defect) {
      case ANSWERS_TWICE ->
          new RoutingMessage.AttemptCompleted(ended.attempt(), with(ended.result(), twice(answer)));
      case SWAPS_ANSWERS ->
          new RoutingMessage.AttemptCompleted(ended.attempt(), with(ended.result(), other));
      default -> message;
    };
  }

  private static EndpointUpdate.AddressedEndpoint undrained(EndpointUpdate.AddressedEndpoint m) {
    Endpoint e = m.endpoint();
    return e.health() != EndpointHealth.DRAINING
        ? m
        : new EndpointUpdate.AddressedEndpoint(
            new Endpoint(
                e.serverId(),
                e.zone(),
                e.kind(),
                e.cell(),
                EndpointHealth.READY,
                e.rating(),
                e.bootTimeNanos()),
            m.host(),
            m.dialAddress());
  }

  private static AttemptResult with(AttemptResult outcome, Slice answer) {
    return new AttemptResult(
        outcome.outcome(),
        outcome.endedAtNanos(),
        outcome.cacheStatus(),
        outcome.loadReport(),
        answer);
  }

  private static Slice twice(Slice answer) {
    byte[] both = new byte[2 * answer.length()];
    System.arraycopy(answer.copy(), 0, both, 0, answer.length());
    System.arraycopy(answer.copy(), 0, both, answer.length(), answer.length());
    return new Slice(both, 0, both.length);
  }

  @Override
  public RoutingEngine engine(
      RouterConfig config, Clock clock, CacheServerClients fleet, EndpointDiscovery list) {
    RoutingSettings settings = config.settings().routing();
    return new RoutingEngine(
        settings,
        clock,
        fleet,
        list,
        out -> {
          RoutingPolicy module = new RingRouter(settings, config.seed(), clock.now(), out);
          return switch (defect) {
            case OVERRUNS_COLD -> (now, event) -> module.handle(now, warm(event));
            case REPEATS_UNSAFE -> new Repeater(settings, module, out);
            default -> module;
          };
        });
  }

  private static RoutingEvent warm(RoutingEvent event) {
    if (!(event instanceof RoutingEvent.EndpointsUpdated list)) {
      return event;
    }
    List<Endpoint> entries =
        list.endpoints().stream()
            .map(
                e ->
                    new Endpoint(
                        e.serverId(), e.zone(), e.kind(), e.cell(), e.health(), e.rating(), 0))
            .toList();
    return new RoutingEvent.EndpointsUpdated(list.version(), list.kind(), entries);
  }

  /** Sends unsafe requests again after a reset, behind the module's back. */
  private static final class Repeater implements RoutingPolicy {
    private final RoutingSettings settings;
    private final RoutingPolicy module;
    private final RoutingActions out;
    private final Set<Long> unsafe = new HashSet<>();
    private final Map<Long, Long> servers = new HashMap<>();

    private Repeater(RoutingSettings settings, RoutingPolicy module, RoutingActions out) {
      this.settings = settings;
      this.module = module;
      this.out = out;
    }

    @Override
    public void handle(long now, RoutingEvent event) {
      if (event instanceof RoutingEvent.EndpointsUpdated list) {
        list.endpoints().forEach(e -> servers.put(e.serverId(), e.serverId()));
      } else if (event instanceof RoutingEvent.RequestArrived a
          && settings.classes().get(a.requestClass()).idempotency() == Idempotency.NON_IDEMPOTENT) {
        unsafe.add(a.requestId());
      } else if (event instanceof RoutingEvent.AttemptClosed e
          && unsafe.contains(e.requestId())
          && !e.requestClosed()
          && e.outcome() == AttemptOutcome.RESET
          && e.attempt() == 0) {
        List<Long> others = new ArrayList<>(servers.keySet());
        others.remove(e.serverId());
        out.send(e.requestId(), others.get(0), 0);
        return;
      }
      module.handle(now, event);
    }
  }
}
