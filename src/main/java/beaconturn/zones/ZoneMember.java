package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One router's part: tells what it sees, follows the plan on a lease, and holds the office where
 * nobody does. Driven by one thread, which asks {@link #next} for the call to make and brings its
 * answer to {@link #answered}.
 */
public final class ZoneMember {
  private static final long SECOND = 1_000_000_000;
  private static final long TICK = SECOND / 4;

  /**
   * Short, as nobody moves anything without an office; each of its steps has the office for a
   * condition.
   */
  private static final long OFFICE_SECONDS = 2;

  private static final int SPREAD_PARTS = 5;
  private static final int LONGEST_BACK_OFF = 8;
  private static final int STALE_RENEWALS = 4;

  /**
   * A report lies in the store for so long after the last word of its router, which may serve on
   * without it: whoever takes the office then has to know of it. Who is heard is told by reports
   * that grow.
   */
  private static final long REPORT_SECONDS = 60;

  /** Evidence is compared over so long. */
  private static final long WINDOW = 3 * SECOND / 2;

  /** What the follower asks of the router. */
  public interface Router {
    /** What it sees of each place, with that number and plan; the counts of its process. */
    ZoneReport sees(String router, long number, long plan);
  }

  /**
   * Which row is due, and whether another place of it than its own may take what its own part has
   * no room for.
   */
  public record Due(ZoneAllocation row, boolean overflow, String says) {}

  /** What is due until a time and from then on. */
  private record Held(long until, Due in, Due after) {}

  private enum Aim {
    LEASE,
    RENEW,
    READ,
    TELL,
    LOOK,
    OFFICE_LEASE,
    OFFICE_RENEW,
    DECIDE,
    STEP
  }

  private final ZonesKeys keys;
  private final ZoneTopology map;
  private final AgreementTiming timing;
  private final String home;
  private final String me;
  private final Router router;
  private final Consumer<String> log;
  private final SplittableRandom random;
  private final FailoverPlanner decision;
  private Aim aim;
  private long sentAt;
  private long waitUntil;
  private int failures;
  private long lease;
  private long aliveSince;
  private long renewAt;
  private long tellAt;
  private long number;
  private boolean read;
  private ZonePlan plan;
  private long planRevision;
  private long leaseUntil = Long.MIN_VALUE;
  private long lookAt;
  private boolean office;
  private long officeLease;
  private long officeRenewAt;
  private long decideAt;
  private ZonePlan step;
  private StoreRequest.Transaction swap;
  private String says = "";
  private ZoneReport before;
  private long beforeAt;
  private boolean nearBad;
  private volatile Held held;
  private Due now;

  /** A follower at a place; {@code me} is its name and incarnation with a slash between. */
  public ZoneMember(
      ZonesKeys keys,
      ZoneTopology map,
      AgreementTiming timing,
      String home,
      String me,
      long seed,
      long start,
      Router router,
      Consumer<String> log) {
    this.keys = keys;
    this.map = map;
    this.timing = timing;
    this.home = home;
    this.me = me;
    this.router = router;
    this.log = log;
    this.random = new SplittableRandom(seed);
    this.decision =
        new FailoverPlanner(
            map,
            FailoverTiming.usual(timing.statedNanos()),
            WINDOW,
            STALE_RENEWALS * timing.renewIntervalNanos(),
            REPORT_SECONDS * SECOND / 2);
    this.plan = ZonePlan.first(map);
    this.renewAt = start;
    this.lookAt = start + spread(TICK);
    hold();
    this.now = due(start);
  }

  /**
   * The row that is due at a time, by its clock; any thread may ask, also one that stood still for
   * long.
   */
  public Due due(long at) {
    Held known = held;
    return at < known.until() ? known.in() : known.after();
  }

  private void hold() {
    held =
        new Held(
            leaseUntil,
            new Due(plan.row(home), true, "plan " + plan.number()),
            nearBad
                ? new Due(
                    ZonePlan.floor(map, home),
                    false,
                    "its own evidence: its place is bad, no lease")
                : new Due(ZonePlan.calm(map, home), false, "no lease: near"));
  }

  /** To be called before each step and now and then: looks at its own evidence and its lease. */
  public void look(long at) {
    if (before == null || at - beforeAt >= WINDOW) {
      ZoneReport last = router.sees(me, number, at < leaseUntil ? plan.number() : 0);
      if (before != null) {
        ZoneObservations seen =
            last.places()
                .getOrDefault(home, ZoneObservations.NONE)
                .since(before.places().getOrDefault(home, ZoneObservations.NONE));
        nearBad = EvidenceAggregator.view(seen) == ZoneHealth.BROKEN || seen.listed() == 0;
      }
      before = last;
      beforeAt = at;
    }
    hold();
    Due next = due(at);
    if (!next.equals(now)) {
      log.accept("zones: sends by " + next.says() + ", " + next.row().parts());
    }
    now = next;
  }

  /** The call to make now, or null while there is none before {@link #wakeAt}; one at a time. */
  public StoreRequest next(long at) {
    if (aim != null || at < waitUntil) {
      return null;
    }
    sentAt = at;
    if (lease == 0) {
      return out(
          Aim.LEASE, new StoreRequest.Grant(Math.max(REPORT_SECONDS, timing.storeLeaseSeconds())));
    }
    if (at >= renewAt) {
      return out(Aim.RENEW, new StoreRequest.KeepAlive(lease));
    }
    if (!read) {
      return out(Aim.READ, new StoreRequest.Read(keys.plan()));
    }
    if (at >= tellAt) {
      number++;
      ZoneReport report = router.sees(me, number, plan.number());
      return out(
          Aim.TELL,
          new StoreRequest.Transaction(
              List.of(new StoreRequest.Condition.Unchanged(keys.plan(), planRevision)),
              List.of(new StoreRequest.Change.Put(keys.report(me), ZonesCodec.of(report), lease))));
    }
    return office
        ? official(at)
        : at >= lookAt ? out(Aim.LOOK, new StoreRequest.Read(keys.office())) : null;
  }

  private StoreRequest official(long at) {
    if (officeLease == 0) {
      return out(Aim.OFFICE_LEASE, new StoreRequest.Grant(OFFICE_SECONDS));
    }
    if (at >= officeRenewAt) {
      return out(Aim.OFFICE_RENEW, new StoreRequest.KeepAlive(officeLease));
    }
    if (swap != null) {
      return out(Aim.STEP, swap);
    }
    return at >= decideAt ? out(Aim.DECIDE, new StoreRequest.Read(keys.all())) : null;
  }

  private StoreRequest out(Aim what, StoreRequest call) {
    aim = what;
    return call;
  }

  /** When {@link #next} may have a call again. */
  public long wakeAt() {
    long at = Math.min(renewAt, tellAt);
    at = Math.min(at, office ? Math.min(decideAt, officeRenewAt) : lookAt);
    return Math.max(waitUntil, at);
  }

  /** What became of the call. */
  public void answered(long at, StoreResponse answer) {
    Aim was = aim;
    aim = null;
    if (!(answer instanceof StoreResponse.Success given)) {
      failed(at, was, ((StoreResponse.Failed) answer).reason());
      return;
    }
    failures = 0;
    try {
      take(at, was, given);
    } catch (AgreementException e) {
      failed(at, was, e.getMessage());
    }
    look(at);
  }

  private void failed(long at, Aim was, String why) {
    failures++;
    if (failures == 1) {
      log.accept("zones: the store does not answer (" + was + "): " + why);
    }
    // Whether a step came about is seen when it is looked at anew.
    swap = was == Aim.STEP ? null : swap;
    waitUntil =
        at
            + spread(
                TICK * Math.min(LONGEST_BACK_OFF, 1L << Math.min(failures, LONGEST_BACK_OFF)) / 2);
    look(at);
  }

  private void take(long at, Aim was, StoreResponse.Success given) throws AgreementException {
    switch (was) {
      case LEASE -> {
        lease = given.leaseId();
        aliveSince = sentAt;
        renewAt = sentAt + spread(timing.renewIntervalNanos());
      }
      case RENEW -> {
        lease = given.leaseTtlSeconds() > 0 ? lease : 0;
        aliveSince = given.leaseTtlSeconds() > 0 ? sentAt : aliveSince;
        renewAt = sentAt + spread(timing.renewIntervalNanos());
      }
      case READ -> knows(given);
      case TELL -> told(given);
      case LOOK -> {
        boolean free = given.entries().isEmpty();
        office = free;
        decideAt = at;
        // Who looks often takes an office that has just fallen free; all would look in step else.
        lookAt = at + spread(2 * TICK);
      }
      case OFFICE_LEASE, OFFICE_RENEW -> {
        officeLease =
            was == Aim.OFFICE_LEASE
                ? given.leaseId()
                : given.leaseTtlSeconds() > 0 ? officeLease : 0;
        officeRenewAt = sentAt + TICK;
      }
      case DECIDE -> decide(at, given);
      case STEP -> stepped(given);
      default -> throw new IllegalStateException(was.name());
    }
  }

  private void knows(StoreResponse.Success given) throws AgreementException {
    for (StoreResponse.Entry pair : given.entries()) {
      if (pair.key().equals(keys.plan())) {
        ZonePlan there = ZonesCodec.plan(pair.value());
        if (there.number() < plan.number()) {
          throw new AgreementException(
              "plan "
                  + there.number()
                  + " stands there, and "
                  + plan.number()
                  + " was known: nobody goes back in time");
        }
        plan = there;
        planRevision = pair.modRevision();
        read = true;
        return;
      }
    }
    if (plan.number() > 0) {
      throw new AgreementException(
          "no plan stands there, and plan " + plan.number() + " was known");
    }
    planRevision = 0;
    read = true;
  }

  /**
   * What was read is still so: the lease counts from before the earlier of the two calls that it
   * rests on.
   */
  private void told(StoreResponse.Success given) {
    if (given.conditionsHeld()) {
      leaseUntil = Math.min(sentAt, aliveSince) + timing.leaseNanos();
      tellAt = sentAt + spread(timing.renewIntervalNanos() / 2);
    } else {
      read = false;
    }
  }

  private void decide(long at, StoreResponse.Success given) throws AgreementException {
    ZonesSnapshot scene = ZonesSnapshot.of(keys, given);
    decideAt = at + TICK;
    if (!scene.office().equals(me)) {
      if (!scene.office().isEmpty()) {
        leaveOffice(at);
        return;
      }
      swap =
          new StoreRequest.Transaction(
              List.of(scene.unchanged(keys.office())),
              List.of(new StoreRequest.Change.Put(keys.office(), me, officeLease)));
      step = null;
      return;
    }
    ZonePlan there = scene.plan() == null ? ZonePlan.first(map) : scene.plan();
    step = decision.next(there, scene.reports(), scene.orders(), me, at);
    tellEvidence();
    if (step != null) {
      List<StoreRequest.Condition> conditions =
          new ArrayList<>(List.of(scene.unchanged(keys.office()), scene.unchanged(keys.plan())));
      map.places().forEach(p -> conditions.add(scene.unchanged(keys.order(p))));
      swap =
          new StoreRequest.Transaction(
              conditions,
              List.of(
                  new StoreRequest.Change.Put(keys.plan(), ZonesCodec.of(step), 0),
                  new StoreRequest.Change.Put(
                      keys.history(step.number()), ZonesCodec.of(step), 0)));
    }
  }

  /** In the log of whoever holds the office, each time that it is something else. */
  private void tellEvidence() {
    String waits = decision.waits();
    String all = decision.says() + (waits.isEmpty() ? "" : "; waits: " + waits);
    if (!all.equals(says)) {
      log.accept("zones: evidence " + all);
      says = all;
    }
  }

  private void stepped(StoreResponse.Success given) {
    if (given.conditionsHeld()) {
      log.accept(
          step == null
              ? "zones: holds the office"
              : "zones: plan " + step.number() + ": " + step.why());
      read &= step == null;
    }
    swap = null;
    step = null;
  }

  private void leaveOffice(long at) {
    office = false;
    officeLease = 0;
    lookAt = at + spread(2 * TICK);
  }

  /** What to ask the store at a planned end. */
  public List<StoreRequest> leave() {
    return lease == 0
        ? List.of()
        : officeLease == 0
            ? List.of(new StoreRequest.Revoke(lease))
            : List.of(new StoreRequest.Revoke(officeLease), new StoreRequest.Revoke(lease));
  }

  /** Spread by chance, so that many routers do not call in step. */
  private long spread(long time) {
    long part = Math.max(1, time / SPREAD_PARTS);
    return time - part + random.nextLong(2 * part);
  }
}
