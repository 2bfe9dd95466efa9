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

/** Routers with one injected defect each, for tests that prove that the invariants detect it. */
public final class FaultyRouter implements RouterCustomization {
  private static final int DEFECT_INTERVAL = 15;
  private static final long EXTRA_AGE_NANOS = 60_000_000_000L;
  private final Defect defect;
  private int eligibleMessages;
  private Slice previousResponse;

  /** The injected defect. */
  public enum Defect {
    /** No defect. */
    NONE,
    /** Some clients receive their response twice. */
    DUPLICATES_RESPONSES,
    /** Retries non-idempotent requests that may have been executed. */
    RETRIES_NON_IDEMPOTENT,
    /** Endpoint updates that drain a server are ignored. */
    IGNORES_DRAINS,
    /** Some requests are lost. */
    LOSES_REQUESTS,
    /** Slow start is skipped: every cache server counts as warm. */
    IGNORES_SLOW_START,
    /** Some clients receive the response of another request. */
    SWAPS_RESPONSES,
    /** A rejected command closes its connection, whatever follows it. */
    CLOSES_ON_REJECTION,
    /** Connections are closed while a command is partially read. */
    CLOSES_ON_PARTIAL_COMMAND
  }

  private FaultyRouter(Defect defect) {
    this.defect = defect;
  }

  /** Creates a router with the defect, not started yet. */
  public static RouterServer of(Defect defect, RouterConfig config) throws IOException {
    return new RouterServer(
        new RouterInputs(
            config, () -> config, new Lifecycle(), new FaultyRouter(defect), null, null));
  }

  @Override
  public ClientConnection connection(SocketChannel client, ConnectionContext context) {
    return switch (defect) {
      case CLOSES_ON_REJECTION ->
          new ClientConnection(client, context) {
            @Override
            protected void respondWithError(String reason) {
              closeWithError(reason);
            }
          };
      case CLOSES_ON_PARTIAL_COMMAND ->
          new ClientConnection(client, context) {
            @Override
            public long partialCommandSinceNanos() {
              // Older than any timeout.
              return super.partialCommandSinceNanos() - EXTRA_AGE_NANOS;
            }

            @Override
            protected boolean mayCloseOverPartialCommand(boolean commandIsReason) {
              return true;
            }
          };
      default -> new ClientConnection(client, context);
    };
  }

  @Override
  public Consumer<RoutingMessage> inbox(Consumer<RoutingMessage> mailbox) {
    return message -> {
      RoutingMessage modified = applyDefect(message);
      if (modified != null) {
        mailbox.accept(modified);
      }
    };
  }

  private synchronized RoutingMessage applyDefect(RoutingMessage message) {
    if (message instanceof RoutingMessage.RequestReceived && defect == Defect.LOSES_REQUESTS) {
      return ++eligibleMessages % DEFECT_INTERVAL == 0 ? null : message;
    }
    if (message instanceof RoutingMessage.EndpointUpdateReceived received
        && defect == Defect.IGNORES_DRAINS) {
      // Also rewritten for the cache server clients, which would otherwise hold back requests to
      // draining servers.
      return new RoutingMessage.EndpointUpdateReceived(
          new EndpointUpdate(
              received.update().version(),
              received.update().kind(),
              received.update().endpoints().stream().map(FaultyRouter::undrained).toList()));
    }
    if (!(message instanceof RoutingMessage.AttemptCompleted completed)
        || completed.result().outcome() != AttemptOutcome.OK) {
      return message;
    }
    Slice response = completed.result().response();
    Slice otherResponse = previousResponse;
    previousResponse = response;
    if (++eligibleMessages % DEFECT_INTERVAL != 0 || otherResponse == null) {
      return message;
    }
    return switch (defect) {
      case DUPLICATES_RESPONSES ->
          new RoutingMessage.AttemptCompleted(
              completed.attempt(), with(completed.result(), twice(response)));
      case SWAPS_RESPONSES ->
          new RoutingMessage.AttemptCompleted(
              completed.attempt(), with(completed.result(), otherResponse));
      default -> message;
    };
  }

  private static EndpointUpdate.AddressedEndpoint undrained(
      EndpointUpdate.AddressedEndpoint member) {
    Endpoint endpoint = member.endpoint();
    return endpoint.health() != EndpointHealth.DRAINING
        ? member
        : new EndpointUpdate.AddressedEndpoint(
            new Endpoint(
                endpoint.serverId(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                EndpointHealth.READY,
                endpoint.rating(),
                endpoint.bootTimeNanos()),
            member.host(),
            member.dialAddress());
  }

  private static AttemptResult with(AttemptResult result, Slice response) {
    return new AttemptResult(
        result.outcome(),
        result.endedAtNanos(),
        result.cacheStatus(),
        result.loadReport(),
        response);
  }

  private static Slice twice(Slice response) {
    byte[] both = new byte[2 * response.length()];
    System.arraycopy(response.copy(), 0, both, 0, response.length());
    System.arraycopy(response.copy(), 0, both, response.length(), response.length());
    return new Slice(both, 0, both.length);
  }

  @Override
  public RoutingEngine engine(
      RouterConfig config, Clock clock, CacheServerClients servers, EndpointDiscovery discovery) {
    RoutingSettings settings = config.settings().routing();
    return new RoutingEngine(
        settings,
        clock,
        servers,
        discovery,
        actions -> {
          RoutingPolicy policy = new RingRouter(settings, config.seed(), clock.now(), actions);
          return switch (defect) {
            case IGNORES_SLOW_START -> (nowNanos, event) -> policy.handle(nowNanos, asWarm(event));
            case RETRIES_NON_IDEMPOTENT -> new RetryingPolicy(settings, policy, actions);
            default -> policy;
          };
        });
  }

  private static RoutingEvent asWarm(RoutingEvent event) {
    if (!(event instanceof RoutingEvent.EndpointsUpdated list)) {
      return event;
    }
    List<Endpoint> entries =
        list.endpoints().stream()
            .map(
                endpoint ->
                    new Endpoint(
                        endpoint.serverId(),
                        endpoint.zone(),
                        endpoint.kind(),
                        endpoint.cell(),
                        endpoint.health(),
                        endpoint.rating(),
                        0))
            .toList();
    return new RoutingEvent.EndpointsUpdated(list.version(), list.kind(), entries);
  }

  /** Retries non-idempotent requests after a reset, bypassing the routing policy. */
  private static final class RetryingPolicy implements RoutingPolicy {
    private final RoutingSettings settings;
    private final RoutingPolicy policy;
    private final RoutingActions actions;
    private final Set<Long> nonIdempotentRequests = new HashSet<>();
    private final Map<Long, Long> servers = new HashMap<>();

    private RetryingPolicy(RoutingSettings settings, RoutingPolicy policy, RoutingActions actions) {
      this.settings = settings;
      this.policy = policy;
      this.actions = actions;
    }

    @Override
    public void handle(long nowNanos, RoutingEvent event) {
      if (event instanceof RoutingEvent.EndpointsUpdated list) {
        list.endpoints().forEach(endpoint -> servers.put(endpoint.serverId(), endpoint.serverId()));
      } else if (event instanceof RoutingEvent.RequestArrived arrival
          && settings.classes().get(arrival.requestClass()).idempotency()
              == Idempotency.NON_IDEMPOTENT) {
        nonIdempotentRequests.add(arrival.requestId());
      } else if (event instanceof RoutingEvent.AttemptClosed closed
          && nonIdempotentRequests.contains(closed.requestId())
          && !closed.requestClosed()
          && closed.outcome() == AttemptOutcome.RESET
          && closed.attempt() == 0) {
        List<Long> others = new ArrayList<>(servers.keySet());
        others.remove(closed.serverId());
        actions.send(closed.requestId(), others.get(0), 0);
        return;
      }
      policy.handle(nowNanos, event);
    }
  }
}
