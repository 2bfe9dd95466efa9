package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.GiveUpReason;
import beaconturn.decision.RoutingActions;
import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingSettings;
import beaconturn.decision.ServerStatus;
import beaconturn.protocol.Slice;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the engine with fake cache servers and a policy that each test scripts. */
class RoutingEngineTest {
  private static final long MILLI = 1_000_000;
  private static final long SERVER = 7;
  private final RoutingSettings settings = Samples.read().routing();
  private final List<RoutingEvent> events = new ArrayList<>();
  private final FakeServers servers = new FakeServers();

  /** Number of remaining calls with which the policy may start or stop a watch. */
  private int permittedWatches;

  private Consumer<RoutingEvent> policy = e -> {};
  private RoutingActions actions;
  private long nowNanos = 1000 * MILLI;
  private final RoutingEngine engine =
      new RoutingEngine(
          settings,
          () -> nowNanos,
          servers,
          new NoDiscovery(),
          out -> {
            actions = out;
            return (clock, event) -> {
              events.add(event);
              policy.accept(event);
            };
          });

  /** Makes the policy send every request to {@link #SERVER}. */
  private void sendArrivals(long timeoutNanos) {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, timeoutNanos);
          }
        };
  }

  private FakeRequest receiveRequest() {
    return receiveRequest(engine);
  }

  private FakeRequest receiveRequest(RoutingEngine target) {
    FakeRequest request = new FakeRequest(nowNanos + 400 * MILLI);
    target.handle(new RoutingMessage.RequestReceived(request));
    return request;
  }

  private OutboundAttempt lastSent() {
    return servers.sent.get(servers.sent.size() - 1);
  }

  /** An engine with the production policy and a list of {@code serverCount} servers. */
  private RoutingEngine engineWithRingRouter(int serverCount) {
    permittedWatches = 1;
    RoutingEngine ringEngine =
        new RoutingEngine(settings, 5, () -> nowNanos, servers, new NoDiscovery());
    updateEndpoints(
        ringEngine,
        EndpointListKind.FULL,
        EndpointHealth.READY,
        LongStream.rangeClosed(1, serverCount).toArray());
    return ringEngine;
  }

  private static void updateEndpoints(
      RoutingEngine target, EndpointListKind kind, EndpointHealth health, long... servers) {
    target.handle(
        new RoutingMessage.EndpointUpdateReceived(
            new EndpointUpdate(
                1,
                kind,
                LongStream.of(servers)
                    .mapToObj(
                        id ->
                            new EndpointUpdate.AddressedEndpoint(
                                new Endpoint(id, 0, 0, 0, health, 1, 0), "", ""))
                    .toList())));
  }

  private static void replaceSettings(RoutingEngine target) {
    target.handle(
        new RoutingMessage.SettingsReplaced(
            Samples.read("permissions.second_copies", "false").routing(), 6));
  }

  private AttemptResult ok(String response) {
    return new AttemptResult(
        AttemptOutcome.OK, nowNanos, CacheStatus.HIT, new float[0], Slice.of(response));
  }

  private RoutingEvent.AttemptClosed lastAttemptClosed() {
    return (RoutingEvent.AttemptClosed) events.get(events.size() - 1);
  }

  @Test
  void forwardsFirstResponseToClient() {
    sendArrivals(0);
    FakeRequest request = receiveRequest();
    nowNanos += 30 * MILLI;
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("value")));
    assertEquals(List.of("responded value"), request.outcomes);
    assertEquals(30 * MILLI, lastAttemptClosed().elapsedNanos());
    assertTrue(lastAttemptClosed().requestClosed());
    assertEquals(0, engine.openRequests());
  }

  /** A process that stops must leave no client without a response. */
  @Test
  void stopFailsOpenRequestsAndRejectsNewOnes() {
    sendArrivals(0);
    FakeRequest open = receiveRequest();
    engine.handle(new RoutingMessage.StopRequested());
    assertEquals(List.of("failed"), open.outcomes);
    assertEquals(0, engine.openRequests());
    assertTrue(events.get(events.size() - 1) instanceof RoutingEvent.RequestCancelled);
    int sent = servers.sent.size();
    assertEquals(List.of("rejected 0"), receiveRequest().outcomes);
    assertEquals(sent, servers.sent.size());
  }

  /** Under other settings the same class index may be a class with other retry rules. */
  @Test
  void rejectsRequestReadUnderUnknownSettings() {
    sendArrivals(0);
    FakeRequest request = new FakeRequest(nowNanos + 400 * MILLI);
    request.settings = Samples.read("classes.0.effect", "non_idempotent").routing();
    engine.handle(new RoutingMessage.RequestReceived(request));
    assertEquals(List.of("rejected 0"), request.outcomes);
    assertEquals(List.of(), servers.sent);
  }

  @Test
  void dropsSecondResponse() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, 0);
            actions.send(a.requestId(), SERVER + 1, 0);
          }
        };
    FakeRequest request = receiveRequest();
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(1), ok("one")));
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("two")));
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("three")));
    assertEquals(List.of("responded one"), request.outcomes);
    assertEquals(3, events.size(), "each attempt ends once");
  }

  @Test
  void abortsAttemptThatTimesOut() {
    sendArrivals(100 * MILLI);
    FakeRequest request = receiveRequest();
    nowNanos += 100 * MILLI;
    engine.runDueTimers();
    assertEquals(servers.sent, servers.aborted);
    assertEquals(AttemptOutcome.TIMEOUT, lastAttemptClosed().outcome());
    assertEquals(List.of(), request.outcomes, "the policy decides whether to retry");
  }

  @Test
  void attemptTimesOutAtClientDeadline() {
    sendArrivals(10_000 * MILLI);
    receiveRequest();
    assertEquals(nowNanos + 400 * MILLI, servers.sent.get(0).timesOutAtNanos());
  }

  @Test
  void abortsCancelledAttemptAndNotifiesPolicyAfterEvent() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, 0);
            actions.cancel(a.requestId(), 0);
            actions.reject(a.requestId(), 20 * MILLI, GiveUpReason.OVERLOADED);
          }
        };
    FakeRequest request = receiveRequest();
    assertEquals(List.of("rejected 20"), request.outcomes);
    assertEquals(servers.sent, servers.aborted);
    assertEquals(AttemptOutcome.CANCELLED, lastAttemptClosed().outcome());
  }

  @Test
  void attemptThatCannotStartEndsAsConnectFailed() {
    servers.reachable = false;
    sendArrivals(0);
    receiveRequest();
    assertEquals(AttemptOutcome.CONNECT_FAILED, lastAttemptClosed().outcome());
  }

  /** An attempt of a completed request could have an unwanted effect. */
  @Test
  void doesNotSendForClosedRequest() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.fail(a.requestId(), GiveUpReason.TOO_LATE);
            actions.reject(a.requestId(), 0, GiveUpReason.OVERLOADED);
            actions.send(a.requestId(), SERVER, 0);
          }
        };
    FakeRequest request = receiveRequest();
    assertEquals(List.of("failed"), request.outcomes);
    assertEquals(List.of(), servers.sent);
    assertEquals(AttemptOutcome.SUPERSEDED, lastAttemptClosed().outcome());
  }

  @Test
  void cancelsRequestOnceWhenClientDisconnects() {
    sendArrivals(0);
    FakeRequest request = receiveRequest();
    engine.handle(new RoutingMessage.ClientDisconnected(request));
    engine.handle(new RoutingMessage.ClientDisconnected(request));
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("late")));
    assertEquals(List.of(), request.outcomes);
    assertEquals(
        1, events.stream().filter(RoutingEvent.RequestCancelled.class::isInstance).count());
  }

  /** A defect of the policy must not leave a client without a response. */
  @Test
  void failsRequestThatPolicyNeverCompletes() {
    FakeRequest request = receiveRequest();
    nowNanos += 400 * MILLI + settings.safetyLimits().responseSlackNanos();
    engine.runDueTimers();
    assertEquals(List.of("failed"), request.outcomes);
  }

  @Test
  void policyFailureFailsOnlyThatRequest() {
    policy =
        e -> {
          throw new IllegalStateException("defect");
        };
    FakeRequest request = receiveRequest();
    assertEquals(List.of("failed"), request.outcomes);
    sendArrivals(0);
    FakeRequest next = receiveRequest();
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("value")));
    assertEquals(List.of("responded value"), next.outcomes);
  }

  @Test
  void firesTimersInOrderOfDueTime() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived) {
            actions.setTimer(20 * MILLI, 2);
            actions.setTimer(10 * MILLI, 1);
            actions.setTimer(20 * MILLI, 3);
          }
        };
    receiveRequest();
    assertEquals(10 * MILLI, engine.untilNextTimerNanos(1000 * MILLI));
    nowNanos += 20 * MILLI;
    engine.runDueTimers();
    assertEquals(
        List.of(1L, 2L, 3L),
        events.stream()
            .filter(RoutingEvent.TimerFired.class::isInstance)
            .map(e -> ((RoutingEvent.TimerFired) e).token())
            .toList());
  }

  /** At a high rate of large values, requests kept until their deadlines would fill the heap. */
  @Test
  @Timeout(60)
  void releasesCompletedRequestBeforeItsDeadline() {
    sendArrivals(0);
    WeakReference<ClientRequest> request = new WeakReference<>(receiveRequest());
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.remove(0), ok("value")));
    while (request.get() != null) {
      System.gc();
    }
    assertEquals(0, engine.openRequests());
  }

  @Test
  void settingsReplacementKeepsOpenRequestsAndEndpointList() {
    RoutingEngine ringEngine = engineWithRingRouter(3);
    FakeRequest before = receiveRequest(ringEngine);
    replaceSettings(ringEngine);
    FakeRequest after = receiveRequest(ringEngine);
    assertEquals(2, servers.sent.size());
    ringEngine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(1), ok("new")));
    ringEngine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("old")));
    assertEquals(List.of("responded old"), before.outcomes);
    assertEquals(List.of("responded new"), after.outcomes);
    assertEquals(0, permittedWatches);
  }

  @Test
  void serverDrainingAfterReplacementGetsNoRequestsFromEitherPolicy() {
    RoutingEngine ringEngine = engineWithRingRouter(2);
    FakeRequest before = receiveRequest(ringEngine);
    OutboundAttempt first = lastSent();
    replaceSettings(ringEngine);
    updateEndpoints(ringEngine, EndpointListKind.DELTA, EndpointHealth.DRAINING, first.serverId());
    ringEngine.handle(
        new RoutingMessage.AttemptCompleted(
            first, AttemptResult.of(AttemptOutcome.REJECTED, nowNanos)));
    assertEquals(1, before.outcomes.size());
    for (int i = 0; i < 20; i++) {
      nowNanos += 10 * MILLI;
      receiveRequest(ringEngine);
    }
    assertEquals(0, servers.sent.stream().filter(a -> a.serverId() == first.serverId()).count());
    assertNotEquals(0, servers.sent.size());
  }

  @Test
  void unhealthyServerStaysAvoidedAfterReplacement() {
    RoutingEngine ringEngine = engineWithRingRouter(4);
    receiveRequest(ringEngine);
    long homeServer = lastSent().serverId();
    for (int i = 0; i < 20; i++) {
      nowNanos += 20 * MILLI;
      receiveRequest(ringEngine);
      ringEngine.handle(
          new RoutingMessage.AttemptCompleted(
              lastSent(),
              lastSent().serverId() == homeServer
                  ? AttemptResult.of(AttemptOutcome.ERROR, nowNanos)
                  : ok("x")));
    }
    replaceSettings(ringEngine);
    int sentBefore = servers.sent.size();
    for (int i = 0; i < 20; i++) {
      receiveRequest(ringEngine);
      ringEngine.handle(new RoutingMessage.AttemptCompleted(lastSent(), ok("x")));
    }
    long toUnhealthy =
        servers.sent.stream().skip(sentBefore).filter(a -> a.serverId() == homeServer).count();
    assertTrue(toUnhealthy <= 1, "attempts at the unhealthy server: " + toUnhealthy);
    assertNotEquals(0, servers.sent.size() - sentBefore);
  }

  /**
   * Restored settings may be those of a replaced policy, which must not get the requests of the
   * current one.
   */
  @Test
  void restoredSettingsUseTheNewestPolicy() {
    RoutingSettings initial =
        Samples.read("rules.cold", "4000000000", "rules.cold_share", "0.2").routing();
    permittedWatches = 1;
    RoutingEngine ringEngine =
        new RoutingEngine(initial, 5, () -> nowNanos, servers, new NoDiscovery());
    replaceSettings(ringEngine);
    ringEngine.handle(new RoutingMessage.SettingsReplaced(initial, 7));
    servers.bootTimeNanos = nowNanos;
    ringEngine.handle(
        new RoutingMessage.EndpointUpdateReceived(
            new EndpointUpdate(
                2,
                EndpointListKind.FULL,
                List.of(
                    new EndpointUpdate.AddressedEndpoint(
                        new Endpoint(1, 0, 0, 0, EndpointHealth.READY, 1, nowNanos), "", "")))));
    FakeRequest request = new FakeRequest(nowNanos + 9000 * MILLI);
    request.settings = initial;
    for (ServerStatus status : List.of(ServerStatus.WARMING, ServerStatus.ACTIVE)) {
      nowNanos += 3000 * MILLI;
      ringEngine.handle(new RoutingMessage.RequestReceived(request));
      assertEquals(
          Map.of(new CacheServerClients.ListedServer("s1", 0, servers.bootTimeNanos), status),
          ringEngine.serverStatuses());
    }
  }

  private static final class FakeRequest implements ClientRequest {
    private final long deadlineNanos;
    private final List<String> outcomes = new ArrayList<>();
    private RoutingSettings settings;

    FakeRequest(long deadlineNanos) {
      this.deadlineNanos = deadlineNanos;
    }

    @Override
    public RequestDescription description() {
      return new RequestDescription(0, 1, false, false, 0, 0, 0);
    }

    @Override
    public RoutingSettings settings() {
      return settings;
    }

    @Override
    public long deadlineNanos() {
      return deadlineNanos;
    }

    @Override
    public List<Slice> encode(long waitMillis) {
      return List.of();
    }

    @Override
    public void respond(Slice response) {
      outcomes.add("responded " + response);
    }

    @Override
    public void reject(long retryAfter) {
      outcomes.add("rejected " + retryAfter / MILLI);
    }

    @Override
    public void fail() {
      outcomes.add("failed");
    }
  }

  private static final class FakeServers implements CacheServerClients {
    private final List<OutboundAttempt> sent = new ArrayList<>();
    private final List<OutboundAttempt> aborted = new ArrayList<>();
    private boolean reachable = true;
    private long bootTimeNanos;

    @Override
    public ListedServer listed(long server) {
      return new ListedServer("s" + server, 0, bootTimeNanos);
    }

    @Override
    public boolean send(OutboundAttempt attempt) {
      return reachable && sent.add(attempt);
    }

    @Override
    public void abort(OutboundAttempt attempt) {
      aborted.add(attempt);
    }

    @Override
    public void closeIdle(long server) {
      sent.clear();
    }

    @Override
    public void applyUpdate(EndpointUpdate update) {
      sent.clear();
    }

    @Override
    public boolean override(long server, boolean excluded, boolean allowUnlisted) {
      return allowUnlisted || server != 0;
    }
  }

  private final class NoDiscovery implements EndpointDiscovery {
    @Override
    public void watch(boolean on) {
      assertTrue(permittedWatches-- > 0, "unexpected call");
    }

    @Override
    public void fetch() {
      throw new AssertionError("unexpected call");
    }
  }
}
