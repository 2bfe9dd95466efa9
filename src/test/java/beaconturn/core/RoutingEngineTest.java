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

/** The host between module and sockets, with a module that does what the test says. */
class RoutingEngineTest {
  private static final long MILLI = 1_000_000;
  private static final long SERVER = 7;
  private final RoutingSettings settings = Samples.read().routing();
  private final List<RoutingEvent> events = new ArrayList<>();
  private final FakeFleet fleet = new FakeFleet();

  /** So often the list may be watched, and not more. */
  private int mayWatch;

  private Consumer<RoutingEvent> module = e -> {};
  private RoutingActions actions;
  private long now = 1000 * MILLI;
  private final RoutingEngine host =
      new RoutingEngine(
          settings,
          () -> now,
          fleet,
          new NoList(),
          out -> {
            actions = out;
            return (clock, event) -> {
              events.add(event);
              module.accept(event);
            };
          });

  /** Sends every arrival to the one server. */
  private void sending(long allowFor) {
    module =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, allowFor);
          }
        };
  }

  private FakeCall arrive() {
    return arrive(host);
  }

  private FakeCall arrive(RoutingEngine at) {
    FakeCall call = new FakeCall(now + 400 * MILLI);
    at.handle(new RoutingMessage.RequestReceived(call));
    return call;
  }

  private OutboundAttempt last() {
    return fleet.sent.get(fleet.sent.size() - 1);
  }

  /** A host of the real module, which knows this many servers. */
  private RoutingEngine real(int servers) {
    mayWatch = 1;
    RoutingEngine real = new RoutingEngine(settings, 5, () -> now, fleet, new NoList());
    list(
        real,
        EndpointListKind.FULL,
        EndpointHealth.READY,
        LongStream.rangeClosed(1, servers).toArray());
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
    FakeCall call = arrive();
    now += 30 * MILLI;
    host.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(0), ok("value")));
    assertEquals(List.of("served value"), call.answers);
    assertEquals(30 * MILLI, lastClosed().elapsedNanos());
    assertTrue(lastClosed().requestClosed());
    assertEquals(0, host.openRequests());
  }

  /** A process that ends answers what it has taken, and what comes while it does. */
  @Test
  void whatIsOpenAtTheEndIsAnsweredAndCalledOff() {
    sending(0);
    FakeCall open = arrive();
    host.handle(new RoutingMessage.StopRequested());
    assertEquals(List.of("failed"), open.answers);
    assertEquals(0, host.openRequests());
    assertTrue(events.get(events.size() - 1) instanceof RoutingEvent.RequestCancelled);
    int sent = fleet.sent.size();
    assertEquals(List.of("refused 0"), arrive().answers);
    assertEquals(sent, fleet.sent.size());
  }

  /**
   * Under other settings the same number may be another class, with other rules on what may be
   * repeated.
   */
  @Test
  void aCallOfSettingsThatNobodyHoldsAnyMoreIsRefused() {
    sending(0);
    FakeCall late = new FakeCall(now + 400 * MILLI);
    late.settings = Samples.read("classes.0.effect", "non_idempotent").routing();
    host.handle(new RoutingMessage.RequestReceived(late));
    assertEquals(List.of("refused 0"), late.answers);
    assertEquals(List.of(), fleet.sent);
  }

  @Test
  void aSecondAnswerIsDropped() {
    module =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, 0);
            actions.send(a.requestId(), SERVER + 1, 0);
          }
        };
    FakeCall call = arrive();
    host.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(1), ok("one")));
    host.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(0), ok("two")));
    host.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(0), ok("three")));
    assertEquals(List.of("served one"), call.answers);
    assertEquals(3, events.size(), "each attempt ends once");
  }

  @Test
  void anAttemptIsTimedOutAndEndedOnTheWire() {
    sending(100 * MILLI);
    FakeCall call = arrive();
    now += 100 * MILLI;
    host.runDue();
    assertEquals(fleet.sent, fleet.aborted);
    assertEquals(AttemptOutcome.TIMEOUT, lastClosed().outcome());
    assertEquals(List.of(), call.answers, "what follows is the module's to decide");
  }

  @Test
  void noAttemptOutlivesItsClient() {
    sending(10_000 * MILLI);
    arrive();
    assertEquals(now + 400 * MILLI, fleet.sent.get(0).timesOutAtNanos());
  }

  @Test
  void aCancelledAttemptIsEndedOnTheWireAndToldAfterTheEvent() {
    module =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.send(a.requestId(), SERVER, 0);
            actions.cancel(a.requestId(), 0);
            actions.refuse(a.requestId(), 20 * MILLI, GiveUpReason.OVERLOADED);
          }
        };
    FakeCall call = arrive();
    assertEquals(List.of("refused 20"), call.answers);
    assertEquals(fleet.sent, fleet.aborted);
    assertEquals(AttemptOutcome.CANCELLED, lastClosed().outcome());
  }

  @Test
  void whatCannotBeStartedNeverRan() {
    fleet.reachable = false;
    sending(0);
    arrive();
    assertEquals(AttemptOutcome.CONNECT_FAILED, lastClosed().outcome());
  }

  /** A send for a request that has its answer would be an effect nobody asked for. */
  @Test
  void nothingIsSentForARequestThatIsOver() {
    module =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived a) {
            actions.fail(a.requestId(), GiveUpReason.TOO_LATE);
            actions.refuse(a.requestId(), 0, GiveUpReason.OVERLOADED);
            actions.send(a.requestId(), SERVER, 0);
          }
        };
    FakeCall call = arrive();
    assertEquals(List.of("failed"), call.answers);
    assertEquals(List.of(), fleet.sent);
    assertEquals(AttemptOutcome.SUPERSEDED, lastClosed().outcome());
  }

  @Test
  void aClientThatLeavesIsWithdrawnOnce() {
    sending(0);
    FakeCall call = arrive();
    host.handle(new RoutingMessage.ClientLeft(call));
    host.handle(new RoutingMessage.ClientLeft(call));
    host.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(0), ok("late")));
    assertEquals(List.of(), call.answers);
    assertEquals(
        1, events.stream().filter(RoutingEvent.RequestCancelled.class::isInstance).count());
  }

  /** Rule one must hold even against a defect of the module: no request goes without its answer. */
  @Test
  void aRequestThatTheModuleForgetsFailsWithinTheSlack() {
    FakeCall call = arrive();
    now += 400 * MILLI + settings.safetyLimits().answerSlackNanos();
    host.runDue();
    assertEquals(List.of("failed"), call.answers);
  }

  @Test
  void aModuleThatFailsOnAnArrivalFailsThatRequestAlone() {
    module =
        e -> {
          throw new IllegalStateException("defect");
        };
    FakeCall call = arrive();
    assertEquals(List.of("failed"), call.answers);
    sending(0);
    FakeCall next = arrive();
    host.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(0), ok("value")));
    assertEquals(List.of("served value"), next.answers);
  }

  @Test
  void timersComeInTheOrderOfTheirTimes() {
    module =
        e -> {
          if (e instanceof RoutingEvent.RequestArrived) {
            actions.timer(20 * MILLI, 2);
            actions.timer(10 * MILLI, 1);
            actions.timer(20 * MILLI, 3);
          }
        };
    arrive();
    assertEquals(10 * MILLI, host.untilNextTimerNanos(1000 * MILLI));
    now += 20 * MILLI;
    host.runDue();
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
    WeakReference<ClientRequest> call = new WeakReference<>(arrive());
    host.handle(new RoutingMessage.AttemptCompleted(fleet.sent.remove(0), ok("value")));
    while (call.get() != null) {
      System.gc();
    }
    assertEquals(0, host.openRequests());
  }

  @Test
  void afterASwitchOldRequestsAreAnsweredAndNewOnesServedWithoutANewList() {
    RoutingEngine real = real(3);
    FakeCall before = arrive(real);
    switchSettings(real);
    FakeCall after = arrive(real);
    assertEquals(2, fleet.sent.size());
    real.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(1), ok("new")));
    real.handle(new RoutingMessage.AttemptCompleted(fleet.sent.get(0), ok("old")));
    assertEquals(List.of("served old"), before.answers);
    assertEquals(List.of("served new"), after.answers);
    assertEquals(0, mayWatch);
  }

  @Test
  void aServerThatDrainsAfterASwitchGetsNothingFromEitherModule() {
    RoutingEngine real = real(2);
    FakeCall before = arrive(real);
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
    assertEquals(0, fleet.sent.stream().filter(a -> a.serverId() == first.serverId()).count());
    assertNotEquals(0, fleet.sent.size());
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
    int until = fleet.sent.size();
    for (int i = 0; i < 20; i++) {
      arrive(real);
      real.handle(new RoutingMessage.AttemptCompleted(last(), ok("x")));
    }
    long toSick = fleet.sent.stream().skip(until).filter(a -> a.serverId() == home).count();
    assertTrue(toSick <= 1, "sent to the sick server: " + toSick);
    assertNotEquals(0, fleet.sent.size() - until);
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
    RoutingEngine real = new RoutingEngine(began, 5, () -> now, fleet, new NoList());
    switchSettings(real);
    real.handle(new RoutingMessage.SettingsReplaced(began, 7));
    fleet.bootTime = now;
    real.handle(
        new RoutingMessage.EndpointUpdateReceived(
            new EndpointUpdate(
                2,
                EndpointListKind.FULL,
                List.of(
                    new EndpointUpdate.AddressedEndpoint(
                        new Endpoint(1, 0, 0, 0, EndpointHealth.READY, 1, now), "", "")))));
    FakeCall call = new FakeCall(now + 9000 * MILLI);
    call.settings = began;
    for (ServerStatus standing : List.of(ServerStatus.WARMING, ServerStatus.ACTIVE)) {
      now += 3000 * MILLI;
      real.handle(new RoutingMessage.RequestReceived(call));
      assertEquals(
          Map.of(new CacheServerClients.ListedServer("s1", 0, fleet.bootTime), standing),
          real.serverStatuses());
    }
  }

  private static final class FakeCall implements ClientRequest {
    private final long deadline;
    private final List<String> answers = new ArrayList<>();
    private RoutingSettings settings;

    FakeCall(long deadline) {
      this.deadline = deadline;
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
      return deadline;
    }

    @Override
    public List<Slice> encode(long waitMillis) {
      return List.of();
    }

    @Override
    public void answered(Slice answer) {
      answers.add("served " + answer);
    }

    @Override
    public void rejected(long retryAfter) {
      answers.add("refused " + retryAfter / MILLI);
    }

    @Override
    public void failed() {
      answers.add("failed");
    }
  }

  private static final class FakeFleet implements CacheServerClients {
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
    public boolean override(long server, boolean excluded, boolean mayBeUnlisted) {
      return mayBeUnlisted || server != 0;
    }
  }

  private final class NoList implements EndpointDiscovery {
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
