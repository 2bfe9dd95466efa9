package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The ordinary path, health, cold starts, admission and discovery. */
class RingRouterTest {
  private static Map<Long, Long> homes(Harness h, int keys) {
    Map<Long, Long> homes = new HashMap<>();
    for (long key = 1; key <= keys; key++) {
      h.arrive(key, READ, key * 7919);
      homes.put(key, h.last().server());
      h.close(h.last(), 0, AttemptOutcome.OK, true);
    }
    return homes;
  }

  @Test
  void capIsTheBoundOnTheMeanCountingTheNewRequestAndNeverUnderTwo() {
    assertEquals(2, RingRouter.cap(0, 10, 0.2));
    assertEquals(2, RingRouter.cap(9, 10, 0.2));
    assertEquals(3, RingRouter.cap(19, 10, 0.2));
    assertEquals(12, RingRouter.cap(99, 10, 0.2));
    assertEquals(3, RingRouter.cap(12, 10, 0.9));
  }

  /**
   * Guards against the smoothed bound under the mean: at a dozen in flight from one of two routers
   * every cache stands over its part of the floor, and a third of all reads went to a cache that
   * lacks their key.
   */
  @Test
  void aCacheAtTheMeanIsNotPassedForItsSmoothedLoad() {
    Harness h = new Harness(Harness.settings(false, 2, List.of()));
    h.caches(4);
    Map<Long, Long> homes = homes(h, 400);
    List<Harness.Send> out = new ArrayList<>();
    int spilled = 0;
    for (long key = 1; key <= 400; key++) {
      h.arrive(1000 + key, READ, key * 7919);
      out.add(h.last());
      spilled += h.last().server() == homes.get(key) ? 0 : 1;
      h.now += 5 * MS;
      if (out.size() > 8) {
        h.close(out.remove(0), 0, AttemptOutcome.OK, true);
      }
    }
    assertTrue(spilled < 60, spilled + " of 400 went past a home that holds no more than others");
  }

  @Test
  void aKeyKeepsItsHomeAndRoutersAgree() {
    Harness a = new Harness(Harness.settings(false), 1);
    Harness b = new Harness(Harness.settings(false), 2);
    a.caches(8);
    b.caches(8);
    Map<Long, Long> first = homes(a, 200);
    assertEquals(first, homes(b, 200));
    assertTrue(new HashSet<>(first.values()).size() == 8, "every cache is home to some keys");
  }

  @Test
  void aJoinAndALeaveMoveOnlyTheKeysOfThatCache() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    Map<Long, Long> before = homes(h, 400);
    h.list(EndpointListKind.DELTA, Harness.cache(9));
    Map<Long, Long> joined = homes(h, 400);
    int moved = 0;
    for (long key : before.keySet()) {
      if (!before.get(key).equals(joined.get(key))) {
        assertEquals(9L, joined.get(key));
        moved++;
      }
    }
    assertTrue(moved > 10 && moved < 120, "moved " + moved);
    h.list(EndpointListKind.DELTA, Harness.entry(9, EndpointHealth.GONE, 0));
    assertEquals(before, homes(h, 400));
  }

  @Test
  void theWalkPassesACacheAtItsCapAndNoneExceedsTheBound() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(3);
    // Known as held, so that no single flight holds the later ones back.
    for (int i = 1; i <= 3; i++) {
      h.list(EndpointListKind.FULL, Harness.cache(i));
      h.serve(i, 5);
    }
    h.list(EndpointListKind.FULL, Harness.cache(1), Harness.cache(2), Harness.cache(3));
    h.sends.clear();
    for (int i = 0; i < 7; i++) {
      h.arrive(100 + i, READ, 5);
    }
    Map<Long, Integer> load = new HashMap<>();
    h.sends.forEach(s -> load.merge(s.server(), 1, Integer::sum));
    assertEquals(7, h.sends.size());
    assertEquals(h.sends.get(0).server(), h.sends.get(1).server());
    assertNotEquals(h.sends.get(0).server(), h.sends.get(2).server());
    assertTrue(
        load.values().stream().allMatch(n -> n <= RingRouter.cap(6, 3, 0.9)), load.toString());
  }

  @Test
  void loadFallsAtLateOutcomesToo() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(1);
    h.arrive(1, READ, 5);
    Harness.Send send = h.last();
    h.router.handle(h.now, new RoutingEvent.RequestCancelled(1));
    assertTrue(h.actions.contains("cancel 1 0"));
    h.close(send, 0, AttemptOutcome.CANCELLED, true);
    h.arrive(2, READ, 5);
    assertEquals(2, h.sends.size());
  }

  @Test
  void oneFetchForAKeyTheOthersWaitAndGoWhereItIsStored() {
    Harness h = Harness.aside(2);
    h.miss(1, 5);
    long home = h.sends.get(0).server();
    Harness.Send fetch = h.last();
    assertEquals(50L, fetch.server());
    h.arrive(2, READ, 5);
    assertEquals(2, h.sends.size());
    h.close(fetch, 1, AttemptOutcome.OK, true);
    assertEquals(new Harness.Send(2, home, SECOND), h.last());
  }

  @Test
  void aFetchThatFailsIsHandedToTheNextInLine() {
    Harness h = Harness.aside(1);
    h.miss(1, 5);
    Harness.Send fetch = h.last();
    h.arrive(2, READ, 5);
    h.close(fetch, 1, AttemptOutcome.ERROR, false);
    assertEquals(List.of(1L), h.refused);
    assertEquals(2L, h.last().request());
    assertEquals(50L, h.last().server());
  }

  @SuppressWarnings("ReferenceEquality") // Two sends may be alike.
  @Test
  void quickErrorsDoNotKeepTheirKeys() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    h.arrive(1, READ, 5);
    long sick = h.last().server();
    int toSick = 0;
    for (int i = 0; i < 40; i++) {
      h.now += 10 * MS;
      h.arrive(100 + i, READ, 5);
      Harness.Send first = h.last();
      if (first.server() == sick) {
        toSick++;
        h.close(first, 0, AttemptOutcome.ERROR, false);
      }
      int attempt = h.last() == first ? 0 : 1;
      h.close(h.last(), attempt, AttemptOutcome.OK, true);
    }
    assertTrue(toSick >= 3 && toSick < 20, "sends to the failing cache: " + toSick);
  }

  @Test
  void aSafeSendEndsAtItsAimWhereALateAnswerEarnsNothingUnlessCachesFetch() {
    for (boolean aside : List.of(true, false)) {
      Harness h = new Harness(Harness.settings(aside));
      h.list(EndpointListKind.CACHED, Harness.cache(1), Harness.cache(2), Harness.origin(50));
      h.arrive(1, READ, 5, 2 * SECOND);
      assertEquals(aside ? SECOND : 2 * SECOND, h.last().allowFor());
      h.close(h.last(), 0, AttemptOutcome.OK, true);
      h.arrive(2, READ, 5, 2 * SECOND);
      assertEquals(aside ? SECOND : 2 * SECOND, h.last().allowFor());
      h.arrive(3, Harness.UNSAFE, 6, 2 * SECOND);
      assertEquals(2 * SECOND, h.last().allowFor());
    }
  }

  @Test
  void aCacheThatReportsFarMoreThanTheMeanIsPassedForAWhile() {
    Harness h = new Harness(Harness.reporting(Harness.settings(false, 20, List.of()), "busy_reqs"));
    h.caches(6);
    homes(h, 20);
    homes(h, 20);
    h.arrive(1, READ, 5);
    long home = h.last().server();
    h.close(h.last(), 0, AttemptOutcome.OK, true);
    for (int i = 0; i < 40; i++) {
      h.now += 10 * MS;
      h.arrive(100 + i, READ, i < 39 ? 1000 + i : 5);
      float held = h.last().server() == home && i > 5 ? 60 : 2;
      h.hit(50 * MS, held);
    }
    assertNotEquals(home, h.last().server());
    h.now += 20 * SECOND;
    h.serve(200, 5);
    h.now += SECOND;
    h.arrive(201, READ, 5);
    assertEquals(home, h.last().server());
  }

  @Test
  void aHotKeyIsSpreadThoughFewRequestsAreOutAtOnce() {
    Harness h = new Harness(Harness.settings(false, 100, List.of()));
    h.caches(20);
    Map<Long, Integer> hot = new HashMap<>();
    Set<Long> tail = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      h.now += 300 * MS;
      h.arrive(i, READ, i % 4 == 0 ? 5 : 1000 + i);
      if (i % 4 == 0) {
        hot.merge(h.last().server(), 1, Integer::sum);
      }
      h.close(h.last(), 0, AttemptOutcome.OK, true);
    }
    assertTrue(hot.size() >= 5 && hot.values().stream().allMatch(n -> n <= 40), hot.toString());
    for (int i = 0; i < 5; i++) {
      h.arrive(9000 + i, READ, 77);
      tail.add(h.last().server());
      h.close(h.last(), 0, AttemptOutcome.OK, true);
      homes(h, 60);
    }
    assertEquals(1, tail.size());
  }

  /** Nothing was heard of it for long, while the others answered. */
  @Test
  void oneBadAnswerIsEnoughWhereAnswersAreRare() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    homes(h, 60);
    long home = h.home(5);
    long other =
        LongStream.range(100, 200).filter(key -> h.home(key) != home).findFirst().orElseThrow();
    for (int i = 0; i < 300; i++) {
      h.now += SECOND / 10;
      h.serve(1000 + i, other);
    }
    h.arrive(500, READ, 5);
    assertEquals(home, h.last().server());
    h.close(h.last(), 0, AttemptOutcome.ERROR, false);
    h.close(h.last(), 1, AttemptOutcome.OK, true);
    assertEquals(ServerStatus.EJECTED, h.router.view().servers().get(home));
    h.arrive(501, READ, 5);
    assertNotEquals(home, h.last().server());
  }

  @Test
  void whatExceedsAQuotaIsShedFirstThoughLimitsAreBelowOne() {
    Harness h =
        new Harness(
            Harness.settings(false, 400, List.of(new Tenant(40, 0.5), new Tenant(400, 0.5))));
    h.caches(6);
    int[] refused = new int[2];
    for (int i = 0; i < 600; i++) {
      h.now += 100 * MS;
      int tenant = i % 4 == 0 ? 1 : 0;
      int before = h.refused.size();
      h.router.handle(
          h.now, new RoutingEvent.RequestArrived(i, tenant, 0, i, READ, SECOND, false, false, 0));
      refused[tenant] += h.refused.size() - before;
      if (h.refused.size() == before) {
        h.hit(400 * MS);
      }
    }
    assertEquals(0, refused[1]);
    assertTrue(refused[0] > 200, "refused beyond the quota: " + refused[0]);
  }

  @Test
  void aColdCacheIsHeldToItsBudget() {
    Harness h = new Harness(Harness.settings(false));
    h.list(EndpointListKind.CACHED, Harness.cache(1), Harness.cache(2), Harness.cache(3));
    homes(h, 300);
    h.list(EndpointListKind.DELTA, Harness.entry(4, EndpointHealth.READY, h.now));
    h.sends.clear();
    homes(h, 300);
    long toCold = h.sends.stream().filter(s -> s.server() == 4).count();
    assertTrue(toCold <= 2, "sent to the cold cache at once: " + toCold);
  }

  /**
   * A list tells starts by the wall clock, which may have been stepped by an hour: it must not make
   * a cache warm.
   */
  @Test
  void howColdACacheIsDependsOnNoWallClock() {
    for (long step : new long[] {-3600 * SECOND, 0, 3600 * SECOND}) {
      Harness h = new Harness(Harness.settings(false));
      h.caches(3);
      h.list(EndpointListKind.FULL, Harness.cache(1), Harness.cache(2), Harness.cache(3));
      h.list(EndpointListKind.DELTA, Harness.entry(4, EndpointHealth.READY, h.now + step));
      assertEquals(ServerStatus.WARMING, h.router.view().servers().get(4L), "step " + step);
      h.now += 19 * SECOND;
      h.list(EndpointListKind.DELTA);
      assertEquals(ServerStatus.WARMING, h.router.view().servers().get(4L), "step " + step);
      h.now += 2 * SECOND;
      h.list(EndpointListKind.DELTA);
      assertEquals(ServerStatus.ACTIVE, h.router.view().servers().get(4L), "step " + step);
    }
  }

  /**
   * The same for a router that has just begun: only what started long before any step counts as
   * warm.
   */
  @Test
  void aFirstListMakesOnlyThoseWarmThatStartedLongAgo() {
    Harness h = new Harness(Harness.settings(false));
    h.now += 7200 * SECOND;
    h.list(
        EndpointListKind.CACHED,
        Harness.entry(1, EndpointHealth.READY, h.now - 3700 * SECOND),
        Harness.entry(2, EndpointHealth.READY, h.now - 3500 * SECOND));
    assertEquals(ServerStatus.ACTIVE, h.router.view().servers().get(1L));
    assertEquals(ServerStatus.WARMING, h.router.view().servers().get(2L));
    h.now += 21 * SECOND;
    h.list(EndpointListKind.DELTA);
    assertEquals(ServerStatus.ACTIVE, h.router.view().servers().get(2L));
  }

  @Test
  void manyRoutersTogetherKeepAColdCacheWithinItsBudget() {
    int routers = 200;
    long toCold = 0;
    for (int i = 0; i < routers; i++) {
      Harness h = new Harness(Harness.settings(false, routers, List.of()), i);
      h.caches(10);
      for (int k = 0; k < 40; k++) {
        h.now += 100 * MS;
        h.serve(k, i * 1000L + k);
      }
      h.list(EndpointListKind.DELTA, Harness.entry(11, EndpointHealth.READY, h.now));
      h.sends.clear();
      for (int k = 100; k < 150; k++) {
        h.now += 20 * MS;
        h.serve(k, i * 1000L + k);
      }
      toCold += h.sends.stream().filter(s -> s.server() == 11).count();
    }
    // Up to then ten requests a second at each router, one for each warm cache; the settings
    // allow three times the cold share of at least 0.2, which is 0.25 at the second's end.
    assertTrue(toCold > 0 && toCold <= 3 * 0.25 * routers, "sent to the cold cache: " + toCold);
  }

  @Test
  void withManyRoutersAPopularHomeIsGivenOneAtATime() {
    Harness h = new Harness(Harness.settings(false, 20, List.of()));
    h.caches(4);
    homes(h, 50);
    for (int i = 0; i < 60; i++) {
      h.arrive(1000 + i, READ, 7919);
      Harness.Send send = h.last();
      h.now += 50 * MS;
      h.close(send, 0, AttemptOutcome.OK, true);
    }
    h.arrive(2000, READ, 7919);
    h.arrive(2001, READ, 7919);
    int last = h.sends.size() - 1;
    assertNotEquals(h.sends.get(last - 1).server(), h.sends.get(last).server());
  }

  @Test
  void aFullListThatOmitsACacheTakesItOffTheRing() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(3);
    h.list(EndpointListKind.FULL, Harness.cache(2));
    Set<Long> used = new HashSet<>(homes(h, 100).values());
    assertEquals(Set.of(2L), used);
  }

  @Test
  void aFailedWatchIsAskedAgainLaterAndTheListStays() {
    Harness h = new Harness(Harness.settings(false));
    assertEquals(List.of("watch true"), h.actions);
    h.caches(2);
    h.list(EndpointListKind.FAILED);
    assertEquals(1, h.actions.stream().filter("watch true"::equals).count());
    h.pass(5 * SECOND);
    assertEquals(2, h.actions.stream().filter("watch true"::equals).count());
    h.arrive(1, READ, 5);
    assertEquals(1, h.sends.size());
  }

  /**
   * What discovery has counts as told some seconds after it can be reached, however seldom lists
   * need be asked for.
   */
  @Test
  void aListThatFailsAgainAndAgainIsAskedForEverySecondOrSo() {
    RoutingSettings s = Harness.settings(true);
    SafetyLimits r = s.safetyLimits();
    Harness h =
        new Harness(
            new RoutingSettings(
                s.routerIndex(),
                s.routerCount(),
                s.zone(),
                true,
                s.stableRatings(),
                s.priorityByWork(),
                s.overQuotaPriorityWeight(),
                s.tickNanos(),
                s.classes(),
                s.tenants(),
                new SafetyLimits(
                    r.answerSlackNanos(),
                    3600 * SECOND,
                    r.coldCapacityShare(),
                    r.warmUpNanos(),
                    r.drainGraceNanos(),
                    r.overloadMultiple(),
                    r.overloadNanos(),
                    false),
                s.permissions(),
                s.origin(),
                s.loadReportFields()));
    for (int i = 0; i < 20; i++) {
      h.list(EndpointListKind.FAILED);
      long before = h.actions.stream().filter("watch true"::equals).count();
      h.pass(1200 * MS);
      assertEquals(
          before + 1, h.actions.stream().filter("watch true"::equals).count(), "failure " + i);
    }
  }

  /**
   * No descriptor, no port: the failure of this machine is held against no cache, and is tried
   * elsewhere.
   */
  @Test
  void whatThisMachineFailsToSendEjectsNoCache() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    h.served(1, 40, 20 * MS, 1);
    h.reads(
        100,
        200,
        20 * MS,
        (send, attempt) -> {
          boolean unsent = send.server() == 1;
          h.close(send, attempt, unsent ? AttemptOutcome.NOT_SENT : AttemptOutcome.OK, !unsent);
        });
    assertTrue(
        h.router.view().servers().values().stream().allMatch(s -> s == ServerStatus.ACTIVE),
        h.router.view()::toString);
    int before = h.sends.size();
    h.reads(300, 340, 20 * MS, (send, attempt) -> h.close(send, attempt, AttemptOutcome.OK, true));
    assertTrue(h.sends.size() - before >= 40, "traffic returns at once");
  }

  @Test
  void unknownEventsAreIgnored() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(2);
    h.actions.clear();
    h.close(new Harness.Send(77, 1, 0), 0, AttemptOutcome.OK, true);
    h.router.handle(h.now, new RoutingEvent.RequestCancelled(78));
    h.router.handle(h.now, new RoutingEvent.TimerFired(79L << 8));
    h.router.handle(h.now, new RoutingEvent.PeerMessageReceived(1, new byte[3]));
    assertEquals(List.of(), h.actions);
  }

  @Test
  void theSameEventsGiveTheSameActions() {
    Harness a = new Harness(Harness.settings(true, 2, List.of()), 11);
    Harness b = new Harness(Harness.settings(true, 2, List.of()), 11);
    for (Harness h : List.of(a, b)) {
      h.list(
          EndpointListKind.CACHED,
          Harness.cache(1),
          Harness.cache(2),
          Harness.cache(3),
          Harness.origin(50));
      h.list(EndpointListKind.FAILED);
      for (int i = 0; i < 200; i++) {
        h.arrive(i, i % 4, i % 17);
        h.pass(7 * MS);
        if (i % 3 == 0 && !h.sends.isEmpty()) {
          h.close(h.last(), 0, AttemptOutcome.values()[i % 9], false);
        }
      }
    }
    assertEquals(a.actions, b.actions);
  }

  /**
   * Guards against a short spell of slow answers that shuts requests out long after it: the limit
   * in flight falls to one a cache, and by one in as many answers it would take seconds to come
   * back.
   */
  @Test
  void theGateOfCachesOpensAgainSoonAfterASpellOfSlowAnswers() {
    assertEquals(List.of(), refusedAfterASlowSpell(0));
  }

  /**
   * Guards against hits that teach nothing because the key is new here: one of many routers seldom
   * meets a key twice, so nearly all its answers are of that kind, and its gate stayed shut.
   */
  @Test
  void hitsOnKeysThatAreNewHereOpenTheGateOfCachesToo() {
    assertEquals(List.of(), refusedAfterASlowSpell(1000));
  }

  /**
   * Sixty slow answers on known keys, sixty quick ones on keys that many further, then thirty at
   * once.
   */
  private static List<Long> refusedAfterASlowSpell(int further) {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    homes(h, 30);
    for (int i = 1; i <= 60; i++) {
      h.arrive(100 + i, READ, (i % 30 + 1) * 7919L);
      h.now += 50 * MS;
      h.hit(900 * MS);
    }
    for (int i = 1; i <= 60; i++) {
      h.arrive(200 + i, READ, (further + i % 30 + 1) * 7919L);
      h.now += 20 * MS;
      h.hit(20 * MS);
    }
    h.refused.clear();
    for (int i = 1; i <= 30; i++) {
      h.arrive(300 + i, READ, i * 7919L);
    }
    return h.refused;
  }

  /** Bad requests: their key fails wherever it goes, and the caches are well. */
  @Test
  void errorsThatFollowAKeyDoNotCountAgainstCachesAndAreNotTriedAgain() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(6);
    h.reads(0, 60, 5 * MS, (send, attempt) -> h.close(send, attempt, AttemptOutcome.OK, true));
    int before = h.sends.size();
    for (int i = 0; i < 200; i++) {
      h.now += 5 * MS;
      int first = h.sends.size();
      h.arrive(1000 + i, READ, 7);
      for (int k = first; k < h.sends.size(); k++) {
        h.close(h.sends.get(k), k - first, AttemptOutcome.ERROR, false, MS);
      }
      h.serve(5000 + i, 20_000 + i);
    }
    long bad = h.sends.stream().skip(before).filter(s -> s.request() < 5000).count();
    assertTrue(bad > 50 && bad < 150, "some trials, no further attempts: " + bad);
    assertTrue(h.router.view().servers().values().stream().allMatch(s -> s == ServerStatus.ACTIVE));
    h.arrive(9000, READ, 30_000);
    h.close(h.last(), 0, AttemptOutcome.ERROR, false, MS);
    assertEquals(9000, h.last().request(), "another key is tried again");
    assertTrue(h.refused.stream().filter(r -> r == 9000).findAny().isEmpty());
  }

  /** Each cache that takes the key is reset: it takes two with it, and hardly any more. */
  @Test
  void aKeyThatBringsDownWhateverTakesItIsNotSentOn() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(8);
    h.reads(0, 60, 5 * MS, (send, attempt) -> h.close(send, attempt, AttemptOutcome.OK, true));
    int before = h.sends.size();
    for (int i = 0; i < 100; i++) {
      h.now += 5 * MS;
      int first = h.sends.size();
      h.arrive(1000 + i, READ, 7);
      for (int k = first; k < h.sends.size(); k++) {
        h.close(h.sends.get(k), k - first, AttemptOutcome.RESET, false, MS);
      }
    }
    assertTrue(h.sends.size() - before < 50, "sent " + (h.sends.size() - before) + " times");
    assertEquals(100, h.refused.size());
  }

  /** Where the origin is asked beside the caches; where caches fetch, over those of all zones. */
  @Test
  void aHotKeyThatIsSpreadGoesToCachesOfTheOwnZoneEvenly() {
    for (boolean aside : new boolean[] {true, false}) {
      Harness h = new Harness(Harness.settings(aside, 40, List.of()));
      h.caches(8);
      for (int i = 0; i < 400; i++) {
        h.now += 5 * MS;
        h.serve(i, 7);
      }
      Map<Long, Integer> to = new HashMap<>();
      h.sends.stream().skip(200).forEach(s -> to.merge(s.server(), 1, Integer::sum));
      assertEquals(
          aside ? Set.of(2L, 4L, 6L, 8L) : Set.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L), to.keySet());
      assertTrue(to.values().stream().allMatch(n -> n > 200 / to.size() / 2), to.toString());
    }
  }
}
