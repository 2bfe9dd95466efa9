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

/** The engine between policy and sockets, with a policy that does what the test says. */
class RoutingEngineTest {
  private static final long MILLI = 1_000_000;
  private static final long SERVER = 7;
  private final RoutingSettings settings = Samples.read().routing();
  private final List<RoutingEvent> events = new ArrayList<>();
  private final FakeServers servers = new FakeServers();

  /** So often the list may be watched, and not more. */
  private int mayWatch;

  private Consumer<RoutingEvent> policy = e -> {};
  private RoutingActions actions;
  private long now = 1000 * MILLI;
  private final RoutingEngine engine =
      new RoutingEngine(
          settings,
          () -> now,
          servers,
          new NoDiscovery(),
          out -> {
            actions = out;
            return (clock, event) -> {
              events.add(event);
              policy.accept(event);
            };
          });

  /** Sends every arrival to the one server. */
  private void sending(long allowFor) {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, allowFor);
          }
        };
  }

  private FakeRequest arrive() {
    return arrive(engine);
  }

  private FakeRequest arrive(RoutingEngine at) {
    FakeRequest request = new FakeRequest(now + 400 * MILLI);
    at.handle(new RoutingMessage.RequestReceived(request));
    return request;
  }

  private OutboundAttempt last() {
    return servers.sent.get(servers.sent.size() - 1);
  }

  /** An engine of the real module, which knows this many servers. */
  private RoutingEngine real(int serverCount) {
    mayWatch = 1;
    RoutingEngine real = new RoutingEngine(settings, 5, () -> now, servers, new NoDiscovery());
    list(
        real,
        EndpointListKind.FULL,
        EndpointHealth.READY,
        LongStream.rangeClosed(1, serverCount).toArray());
    return real;
  }

  private static void list(
      RoutingEngine to, EndpointListKind kind, EndpointHealth health, long... servers) {
    to.handle(
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

  private static void switchSettings(RoutingEngine of) {
    of.handle(
        new RoutingMessage.SettingsReplaced(
            Samples.read("permissions.second_copies", "false").routing(), 6));
  }

  private AttemptResult ok(String answer) {
    return new AttemptResult(
        AttemptOutcome.OK, now, CacheStatus.HIT, new float[0], Slice.of(answer));
  }

  private RoutingEvent.AttemptClosed lastClosed() {
    return (RoutingEvent.AttemptClosed) events.get(events.size() - 1);
  }

  @Test
  void theFirstAnswerOfACacheServerIsTheClients() {
    sending(0);
    FakeRequest request = arrive();
    now += 30 * MILLI;
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("value")));
    assertEquals(List.of("served value"), request.answers);
    assertEquals(30 * MILLI, lastClosed().elapsedNanos());
    assertTrue(lastClosed().requestClosed());
    assertEquals(0, engine.openRequests());
  }

  /** A process that ends answers what it has taken, and what comes while it does. */
  @Test
  void whatIsOpenAtTheEndIsAnsweredAndCalledOff() {
    sending(0);
    FakeRequest open = arrive();
    engine.handle(new RoutingMessage.StopRequested());
    assertEquals(List.of("failed"), open.answers);
    assertEquals(0, engine.openRequests());
    assertTrue(events.get(events.size() - 1) instanceof RoutingEvent.RequestCancelled);
    int sent = servers.sent.size();
    assertEquals(List.of("refused 0"), arrive().answers);
    assertEquals(sent, servers.sent.size());
  }

  /**
   * Under other settings the same number may be another class, with other rules on what may be
   * repeated.
   */
  @Test
  void aRequestOfSettingsThatNobodyHoldsAnyMoreIsRejected() {
    sending(0);
    FakeRequest late = new FakeRequest(now + 400 * MILLI);
    late.settings = Samples.read("classes.0.effect", "non_idempotent").routing();
    engine.handle(new RoutingMessage.RequestReceived(late));
    assertEquals(List.of("refused 0"), late.answers);
    assertEquals(List.of(), servers.sent);
  }

  @Test
  void aSecondAnswerIsDropped() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, 0);
            actions.send(a.requestId(), SERVER + 1, 0);
          }
        };
    FakeRequest request = arrive();
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(1), ok("one")));
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("two")));
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("three")));
    assertEquals(List.of("served one"), request.answers);
    assertEquals(3, events.size(), "each attempt ends once");
  }

  @Test
  void anAttemptIsTimedOutAndEndedOnTheWire() {
    sending(100 * MILLI);
    FakeRequest request = arrive();
    now += 100 * MILLI;
    engine.runDueTimers();
    assertEquals(servers.sent, servers.aborted);
    assertEquals(AttemptOutcome.TIMEOUT, lastClosed().outcome());
    assertEquals(List.of(), request.answers, "what follows is the policy's to decide");
  }

  @Test
  void noAttemptOutlivesItsClient() {
    sending(10_000 * MILLI);
    arrive();
    assertEquals(now + 400 * MILLI, servers.sent.get(0).timesOutAtNanos());
  }

  @Test
  void aCancelledAttemptIsEndedOnTheWireAndToldAfterTheEvent() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, 0);
            actions.cancel(a.requestId(), 0);
            actions.reject(a.requestId(), 20 * MILLI, GiveUpReason.OVERLOADED);
          }
        };
    FakeRequest request = arrive();
    assertEquals(List.of("refused 20"), request.answers);
    assertEquals(servers.sent, servers.aborted);
    assertEquals(AttemptOutcome.CANCELLED, lastClosed().outcome());
  }

  @Test
  void whatCannotBeStartedNeverRan() {
    servers.reachable = false;
    sending(0);
    arrive();
    assertEquals(AttemptOutcome.CONNECT_FAILED, lastClosed().outcome());
  }

  /** A send for a request that has its answer would be an effect nobody asked for. */
  @Test
  void nothingIsSentForARequestThatIsOver() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.fail(a.requestId(), GiveUpReason.TOO_LATE);
            actions.reject(a.requestId(), 0, GiveUpReason.OVERLOADED);
            actions.send(a.requestId(), SERVER, 0);
          }
        };
    FakeRequest request = arrive();
    assertEquals(List.of("failed"), request.answers);
    assertEquals(List.of(), servers.sent);
    assertEquals(AttemptOutcome.SUPERSEDED, lastClosed().outcome());
  }

  @Test
  void aClientThatLeavesIsWithdrawnOnce() {
    sending(0);
    FakeRequest request = arrive();
    engine.handle(new RoutingMessage.ClientDisconnected(request));
    engine.handle(new RoutingMessage.ClientDisconnected(request));
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("late")));
    assertEquals(List.of(), request.answers);
    assertEquals(
        1, events.stream().filter(RoutingEvent.RequestCancelled.class::isInstance).count());
  }

  /** Rule one must hold even against a defect of the module: no request goes without its answer. */
  @Test
  void aRequestThatTheModuleForgetsFailsWithinTheSlack() {
    FakeRequest request = arrive();
    now += 400 * MILLI + settings.safetyLimits().answerSlackNanos();
    engine.runDueTimers();
    assertEquals(List.of("failed"), request.answers);
  }

  @Test
  void aModuleThatFailsOnAnArrivalFailsThatRequestAlone() {
    policy =
        e -> {
          throw new IllegalStateException("defect");
        };
    FakeRequest request = arrive();
    assertEquals(List.of("failed"), request.answers);
    sending(0);
    FakeRequest next = arrive();
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("value")));
    assertEquals(List.of("served value"), next.answers);
  }

  @Test
  void timersComeInTheOrderOfTheirTimes() {
    policy =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived) {
            actions.setTimer(20 * MILLI, 2);
            actions.setTimer(10 * MILLI, 1);
            actions.setTimer(20 * MILLI, 3);
          }
        };
    arrive();
    assertEquals(10 * MILLI, engine.untilNextTimerNanos(1000 * MILLI));
    now += 20 * MILLI;
    engine.runDueTimers();
    assertEquals(
        List.of(1L, 2L, 3L),
        events.stream()
            .filter(RoutingEvent.TimerFired.class::isInstance)
            .map(e -> ((RoutingEvent.TimerFired) e).token())
            .toList());
  }

  /** At a high rate of large values, what is kept until each deadline fills the heap. */
  @Test
  @Timeout(60)
  void aRequestThatIsOverIsLetGoBeforeItsDeadline() {
    sending(0);
    WeakReference<ClientRequest> request = new WeakReference<>(arrive());
    engine.handle(new RoutingMessage.AttemptCompleted(servers.sent.remove(0), ok("value")));
    while (request.get() != null) {
      System.gc();
    }
    assertEquals(0, engine.openRequests());
  }

  @Test
  void afterASwitchOldRequestsAreAnsweredAndNewOnesServedWithoutANewList() {
    RoutingEngine real = real(3);
    FakeRequest before = arrive(real);
    switchSettings(real);
    FakeRequest after = arrive(real);
    assertEquals(2, servers.sent.size());
    real.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(1), ok("new")));
    real.handle(new RoutingMessage.AttemptCompleted(servers.sent.get(0), ok("old")));
    assertEquals(List.of("served old"), before.answers);
    assertEquals(List.of("served new"), after.answers);
    assertEquals(0, mayWatch);
  }

  @Test
  void aServerThatDrainsAfterASwitchGetsNothingFromEitherModule() {
    RoutingEngine real = real(2);
    FakeRequest before = arrive(real);
    OutboundAttempt first = last();
    switchSettings(real);
    list(real, EndpointListKind.DELTA, EndpointHealth.DRAINING, first.serverId());
    real.handle(
        new RoutingMessage.AttemptCompleted(first, AttemptResult.of(AttemptOutcome.REJECTED, now)));
    assertEquals(1, before.answers.size());
    for (int i = 0; i < 20; i++) {
      now += 10 * MILLI;
      arrive(real);
    }
    assertEquals(0, servers.sent.stream().filter(a -> a.serverId() == first.serverId()).count());
    assertNotEquals(0, servers.sent.size());
  }

  @Test
  void aSickServerIsNotTrustedAnewBecauseSettingsChanged() {
    RoutingEngine real = real(4);
    arrive(real);
    long home = last().serverId();
    for (int i = 0; i < 20; i++) {
      now += 20 * MILLI;
      arrive(real);
      real.handle(
          new RoutingMessage.AttemptCompleted(
              last(),
              last().serverId() == home ? AttemptResult.of(AttemptOutcome.ERROR, now) : ok("x")));
    }
    switchSettings(real);
    int until = servers.sent.size();
    for (int i = 0; i < 20; i++) {
      arrive(real);
      real.handle(new RoutingMessage.AttemptCompleted(last(), ok("x")));
    }
    long toSick = servers.sent.stream().skip(until).filter(a -> a.serverId() == home).count();
    assertTrue(toSick <= 1, "sent to the sick server: " + toSick);
    assertNotEquals(0, servers.sent.size() - until);
  }

  /**
   * What all routers agree on can be what a router began with: requests then went to the module of
   * the start, which had been replaced, and the one in force heard nothing but news.
   */
  @Test
  void settingsThatComeBackIntoForceAreThoseOfTheLatestModule() {
    RoutingSettings began =
        Samples.read("rules.cold", "4000000000", "rules.cold_share", "0.2").routing();
    mayWatch = 1;
    RoutingEngine real = new RoutingEngine(began, 5, () -> now, servers, new NoDiscovery());
    switchSettings(real);
    real.handle(new RoutingMessage.SettingsReplaced(began, 7));
    servers.bootTime = now;
    real.handle(
        new RoutingMessage.EndpointUpdateReceived(
            new EndpointUpdate(
                2,
                EndpointListKind.FULL,
                List.of(
                    new EndpointUpdate.AddressedEndpoint(
                        new Endpoint(1, 0, 0, 0, EndpointHealth.READY, 1, now), "", "")))));
    FakeRequest request = new FakeRequest(now + 9000 * MILLI);
    request.settings = began;
    for (ServerStatus standing : List.of(ServerStatus.WARMING, ServerStatus.ACTIVE)) {
      now += 3000 * MILLI;
      real.handle(new RoutingMessage.RequestReceived(request));
      assertEquals(
          Map.of(new CacheServerClients.ListedServer("s1", 0, servers.bootTime), standing),
          real.serverStatuses());
    }
  }

  private static final class FakeRequest implements ClientRequest {
    private final long deadlineNanos;
    private final List<String> answers = new ArrayList<>();
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
    public void respond(Slice answer) {
      answers.add("served " + answer);
    }

    @Override
    public void reject(long retryAfter) {
      answers.add("refused " + retryAfter / MILLI);
    }

    @Override
    public void fail() {
      answers.add("failed");
    }
  }

  private static final class FakeServers implements CacheServerClients {
    private final List<OutboundAttempt> sent = new ArrayList<>();
    private final List<OutboundAttempt> aborted = new ArrayList<>();
    private boolean reachable = true;
    private long bootTime;

    @Override
    public ListedServer listed(long server) {
      return new ListedServer("s" + server, 0, bootTime);
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
    public void follow(EndpointUpdate news) {
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
      assertTrue(mayWatch-- > 0, "not asked for here");
    }

    @Override
    public void fetch() {
      throw new AssertionError("not asked for here");
    }
  }
}
