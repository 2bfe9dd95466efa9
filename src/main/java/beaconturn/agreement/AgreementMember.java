package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * One router's part in the agreement: asks the store one thing at a time, says yes or no to what is
 * proposed, follows what is in force, and knows at any time what it may act on. No I/O; driven by
 * one thread, which asks {@link #next} for the call to make and brings its answer to {@link
 * #answered}.
 */
public final class AgreementMember {
  private static final int SPREAD_PARTS = 5;
  private static final int LONGEST_BACK_OFF = 8;

  /** What the member tells the router. */
  public interface Router {
    /**
     * What it may act on from here on; comes before the store hears anything that follows from it.
     */
    void ground(EffectiveConfig ground);

    /** To be kept for the next start, durably before this returns; false if it cannot be. */
    boolean keep(PersistedConfig kept);

    /** Why the router cannot follow the content, or null if it can. */
    String objection(ConfigContent content);

    /**
     * Whether the router has what the content asks for, such as its list; while it has not, it says
     * neither yes nor no and is asked again.
     */
    default boolean ready(ConfigContent content) {
      return true;
    }
  }

  /** What a call that is out is for. */
  private enum Aim {
    LEASE,
    RENEW,
    LOOK,
    CONFIRM,
    NAMESAKES,
    JOIN,
    SPEAK,
    ROSTER,
    ALIVES,
    OFFICE,
    STEP
  }

  private final AgreementKeys keys;
  private final AgreementTransactions steps;
  private final AgreementTiming timing;
  private final String name;
  private final String incarnation;

  /** Whether another process of this name may live beside this one. */
  private final boolean shared;

  private final ConfigContent base;
  private final Router router;
  private final Consumer<String> log;
  private final SplittableRandom random;

  private Aim aim;
  private long sentAt;
  private long lease;
  private boolean joined;

  /** When the call was sent that last kept the store's lease alive. */
  private long aliveSince;

  private long lookAt;
  private long renewAt;
  private long waitUntil;
  private int failures;
  private long confirmAt;
  private int unconfirmed;
  private boolean looked;
  private boolean heard;
  private boolean mustSpeak;
  private long officeAt;
  private AgreementSnapshot seen;
  private StoreResponse.Success namesakes;
  private StoreResponse.Success roster;
  private AgreementStep step;
  private String trouble = "";

  /** What stands in the store of what this router sees, and on which lease. */
  private EndpointView told;

  private long toldOn;

  private PersistedConfig kept;

  /**
   * What may be acted on: only what this router's line on the roster stands for, or what was kept
   * by the process before it, whose line still stands. Null: nothing, others may have moved on
   * without its yes.
   */
  private PersistedConfig basis;

  private long no;
  private String why = "";

  /** The version that it could not say yes to for want of what that asks for. */
  private long waited;

  private long leaseUntil = Long.MIN_VALUE;

  /**
   * A member that begins with what was kept; {@code base} is the router's own configuration, whole.
   */
  public AgreementMember(
      AgreementKeys keys,
      AgreementTiming timing,
      String name,
      String incarnation,
      boolean shared,
      ConfigContent base,
      PersistedConfig kept,
      long seed,
      long now,
      Router router,
      Consumer<String> log) {
    this.keys = keys;
    this.steps = new AgreementTransactions(keys);
    this.timing = timing;
    this.name = name;
    this.incarnation = incarnation;
    this.shared = shared;
    this.base = base;
    this.kept = kept;
    this.router = router;
    this.log = log;
    this.random = new SplittableRandom(seed);
    this.lookAt = now;
    this.renewAt = now;
    log.accept(
        "agreement: starts on "
            + (kept.joined()
                ? "what was kept, version "
                    + kept.actingVersion().number()
                    + ", if the store is out of reach"
                : "strict ground, nothing is kept")
            + "; repeats nothing until it has agreed");
    tellGround();
  }

  /** The call to make now, or null while there is none before {@link #wakeAt}; one at a time. */
  public StoreRequest next(long now) {
    if (aim != null || now < waitUntil) {
      return null;
    }
    sentAt = now;
    if (lease == 0) {
      return out(Aim.LEASE, new StoreRequest.Grant(timing.storeLeaseSeconds()));
    }
    if (now >= renewAt) {
      return out(Aim.RENEW, new StoreRequest.KeepAlive(lease));
    }
    if (!looked || (now >= lookAt && (seen.hasOpenStep() || seen.agreementId().isEmpty()))) {
      return out(Aim.LOOK, new StoreRequest.Read(keys.commonPrefix()));
    }
    if (seen.agreementId().isEmpty()) {
      return null;
    }
    if (!joined) {
      return namesakes == null
          ? out(Aim.NAMESAKES, new StoreRequest.Read(keys.membersPrefix() + name + "/"))
          : out(Aim.JOIN, join());
    }
    if (mustSpeak) {
      return out(Aim.SPEAK, speak());
    }
    if (now >= confirmAt) {
      return out(
          Aim.CONFIRM,
          new StoreRequest.Transaction(
              List.of(
                  seen.unchanged(keys.agreementId()),
                  seen.unchanged(keys.current()),
                  seen.unchanged(keys.proposed())),
              List.of()));
    }
    return seen.hasOpenStep() ? lookAfter(now) : null;
  }

  /**
   * The call that tells what this router sees, on its lease; null where that stands there, or no
   * lease is held, or the store has other things to mend. It is made beside {@link #next}: nothing
   * that is agreed on rests on it.
   */
  public StoreRequest tells(EndpointView sight) {
    boolean stands = sight.equals(told) && toldOn == lease;
    return stands || !joined || lease == 0 || failures > 0
        ? null
        : new StoreRequest.Transaction(
            List.of(new StoreRequest.Condition.Exists(keys.liveMember(name, incarnation))),
            List.of(
                new StoreRequest.Change.Put(
                    keys.endpointView(name, incarnation), sight.encode(), lease)));
  }

  /** Takes the answer to the call of {@link #tells}. */
  public void told(EndpointView sight, StoreResponse answer) {
    if (answer instanceof StoreResponse.Success given && given.conditionsHeld()) {
      told = sight;
      toldOn = lease;
    }
  }

  /** Whether the store has told what may be acted on, or has failed to at least once. */
  public boolean hasAsked() {
    return basis != null || failures > 0;
  }

  /** When to ask for the next call, by the clock that {@link #next} is given. */
  public long wakeAt() {
    long looks =
        seen == null || seen.hasOpenStep() || seen.agreementId().isEmpty()
            ? lookAt
            : Long.MAX_VALUE;
    long confirms = joined ? confirmAt : Long.MAX_VALUE;
    long at = Math.max(waitUntil, Math.min(Math.min(looks, renewAt), confirms));
    return seen != null && joined && seen.hasOpenStep() && mine()
        ? Math.max(waitUntil, Math.min(at, officeAt))
        : at;
  }

  /** Whether the office is this router's, or nobody's. */
  private boolean mine() {
    return seen.leader().isEmpty() || seen.leader().equals(incarnation);
  }

  private StoreRequest out(Aim what, StoreRequest call) {
    aim = what;
    return call;
  }

  /** Who holds the office looks at the roster at each round, while a step is open. */
  private StoreRequest lookAfter(long now) {
    if (!mine() || (step == null && roster == null && now < officeAt)) {
      return null;
    }
    if (seen.leader().isEmpty()) {
      return out(
          Aim.OFFICE,
          new StoreRequest.Transaction(
              List.of(new StoreRequest.Condition.Unchanged(keys.leader(), 0)),
              List.of(new StoreRequest.Change.Put(keys.leader(), incarnation, lease))));
    }
    if (step != null) {
      return out(Aim.STEP, step.transaction());
    }
    return roster == null
        ? out(Aim.ROSTER, new StoreRequest.Read(keys.membersPrefix()))
        : out(Aim.ALIVES, new StoreRequest.Read(keys.liveMembersPrefix()));
  }

  private MemberRecord seat() {
    return new MemberRecord(
        name,
        incarnation,
        Math.max(
            kept.actingVersion().number(),
            kept.ackedVersion() == null ? 0 : kept.ackedVersion().number()),
        no,
        why,
        kept.actingVersion().number());
  }

  /**
   * On what was seen: if a step was taken meanwhile it looks again, so that nobody misses its yes.
   */
  private StoreRequest.Transaction join() {
    List<StoreRequest.Change> changes = new ArrayList<>();
    if (!shared) {
      // Whoever had this name before is dead: its address is this process's.
      namesakes.entries().stream()
          .filter(p -> !p.key().equals(keys.member(name, incarnation)))
          .forEach(p -> changes.add(new StoreRequest.Change.Delete(p.key())));
    }
    changes.add(new StoreRequest.Change.Put(keys.member(name, incarnation), seat().encode(), 0));
    changes.add(new StoreRequest.Change.Put(keys.liveMember(name, incarnation), "", lease));
    return new StoreRequest.Transaction(
        List.of(
            seen.unchanged(keys.agreementId()),
            seen.unchanged(keys.current()),
            seen.unchanged(keys.proposed())),
        changes);
  }

  /** Only while its line stands: one that was declared lost does not come back by speaking. */
  private StoreRequest.Transaction speak() {
    return new StoreRequest.Transaction(
        List.of(new StoreRequest.Condition.Exists(keys.member(name, incarnation))),
        List.of(new StoreRequest.Change.Put(keys.member(name, incarnation), seat().encode(), 0)));
  }

  /** Takes the answer to the call that was out; {@code now} is when it came. */
  public void answered(long now, StoreResponse answer) {
    Aim was = aim;
    aim = null;
    if (!(answer instanceof StoreResponse.Success given)) {
      failed(now, was, ((StoreResponse.Failed) answer).reason());
      return;
    }
    if (!kept.clusterId().isEmpty() && !given.clusterId().equals(kept.clusterId())) {
      failed(
          now,
          was,
          "it is another cluster, "
              + given.clusterId()
              + " and not "
              + kept.clusterId()
              + ": it was restored or replaced");
      return;
    }
    if (given.storeRevision() < kept.storeRevision()) {
      failed(now, was, "it is behind what was seen: a member that lags, or an older copy");
      return;
    }
    switch (was) {
      case LEASE -> {
        lease = given.leaseId();
        aliveSince = sentAt;
        renewAt = sentAt + spread(timing.renewIntervalNanos());
      }
      case RENEW -> renewed(given);
      case LOOK -> saw(now, given);
      case CONFIRM -> confirmed(now, given);
      case NAMESAKES -> namesakes = given;
      case JOIN -> hasJoined(given);
      case SPEAK -> hasSpoken(given);
      case ROSTER -> roster = given;
      case ALIVES -> decide(now, given);
      case OFFICE -> looked = false;
      case STEP -> {
        if (given.conditionsHeld()) {
          log.accept("agreement: " + step.description());
        }
        endStep();
      }
      default -> throw new IllegalStateException("no such aim: " + was);
    }
  }

  private void endStep() {
    step = null;
    roster = null;
    looked = false;
  }

  private void failed(long now, Aim was, String reason) {
    if (was == Aim.STEP || was == Aim.ROSTER || was == Aim.ALIVES) {
      endStep();
    }
    if (was == Aim.JOIN) {
      // It may have come about: what is seen next tells, and joining twice is joining once.
      namesakes = null;
    }
    failures++;
    if (!reason.equals(trouble)) {
      log.accept("agreement: the store does not answer as it should: " + reason);
    }
    trouble = reason;
    if (!heard && basis == null && kept.joined()) {
      // Nobody to ask whether the line of the process before still stands; it does unless an
      // operator
      // has declared that router lost, who then must not start it without a store.
      basis = kept;
      tellGround();
    }
    long back =
        timing.renewIntervalNanos() / LONGEST_BACK_OFF * Math.min(LONGEST_BACK_OFF, failures);
    waitUntil = now + spread(back);
  }

  private void renewed(StoreResponse.Success given) {
    if (given.leaseTtlSeconds() > 0) {
      aliveSince = sentAt;
      renewAt = sentAt + spread(timing.renewIntervalNanos());
      return;
    }
    // The store has let go of it: it joins anew, and holds nothing until then.
    log.accept("agreement: the lease had ended at the store, joins anew");
    lease = 0;
    joined = false;
    namesakes = null;
    leaseUntil = Long.MIN_VALUE;
    tellGround();
  }

  private void saw(long now, StoreResponse.Success given) {
    AgreementSnapshot news;
    try {
      news = AgreementSnapshot.of(keys, given);
    } catch (AgreementException e) {
      failed(now, Aim.LOOK, e.getMessage());
      return;
    }
    String wrong = replaced(news);
    if (wrong != null) {
      failed(now, Aim.LOOK, wrong);
      return;
    }
    if (failures > 0) {
      log.accept("agreement: the store answers again");
    }
    failures = 0;
    trouble = "";
    looked = true;
    heard = true;
    lookAt = sentAt + spread(timing.renewIntervalNanos());
    boolean wasVacant = seen != null && seen.hasOpenStep() && seen.leader().isEmpty();
    seen = news;
    if (news.agreementId().isEmpty()) {
      return;
    }
    if (news.hasOpenStep() && news.leader().isEmpty() && !wasVacant) {
      // All see it at about the same time; one is enough.
      officeAt = now + random.nextLong(Math.max(1, timing.renewIntervalNanos()));
    }
    follow(news);
    if (joined) {
      basis = kept;
      confirmAt = now;
      tellGround();
    }
  }

  /** What tells that this is no longer the store that was followed, or null. */
  private String replaced(AgreementSnapshot news) {
    if (kept.agreementId().isEmpty()) {
      return null;
    }
    if (!news.agreementId().equals(kept.agreementId())) {
      return "it holds "
          + (news.agreementId().isEmpty() ? "no agreement" : "agreement " + news.agreementId())
          + " and not "
          + kept.agreementId()
          + ": it was replaced";
    }
    ConfigVersion acting = kept.actingVersion();
    if (news.current().number() < acting.number()
        || (news.current().number() == acting.number() && !news.current().isSameAs(acting))) {
      return "it has version "
          + news.current().number()
          + " in force, and "
          + acting.number()
          + " was in force before: nobody goes back in time";
    }
    return null;
  }

  /** Goes along with what is in force, and says what it thinks of what is proposed. */
  @SuppressWarnings("ReferenceEquality") // The very version, not one alike.
  private void follow(AgreementSnapshot news) {
    PersistedConfig before = kept;
    ConfigVersion acting = news.current();
    ConfigVersion next =
        kept.ackedVersion() != null && kept.ackedVersion().number() > acting.number()
            ? kept.ackedVersion()
            : null;
    if (news.proposedNumber() == 0) {
      // What was turned down can come into force no more.
      next = null;
    } else if (next == null || next.number() < news.proposedNumber()) {
      next = consider(news);
    }
    kept =
        new PersistedConfig(
            news.agreementId(), news.clusterId(), news.storeRevision(), joined, acting, next);
    boolean changed =
        !before.agreementId().equals(kept.agreementId())
            || !before.actingVersion().isSameAs(acting)
            || (before.ackedVersion() == null ? 0 : before.ackedVersion().number())
                != (next == null ? 0 : next.number());
    if (changed && !router.keep(kept) && next != null && next != before.ackedVersion()) {
      // A yes that a restart forgets would be none.
      no = next.number();
      why = "it cannot be kept for a restart";
      kept =
          new PersistedConfig(
              news.agreementId(),
              news.clusterId(),
              news.storeRevision(),
              joined,
              acting,
              before.ackedVersion());
    }
    if (changed) {
      mustSpeak = true;
      if (!before.actingVersion().isSameAs(acting)) {
        log.accept("agreement: acts on version " + acting.number() + " (" + acting.reason() + ")");
      }
    }
  }

  /** The proposed version if it is said yes to, else null; says no with the reason. */
  private ConfigVersion consider(AgreementSnapshot news) {
    if (no == news.proposedNumber()) {
      return null;
    }
    String objection =
        news.proposed() == null
            ? news.unreadableReason()
            : router.objection(news.proposed().content().withDefaults(base));
    if (objection != null) {
      no = news.proposedNumber();
      why = objection;
      mustSpeak = true;
      log.accept("agreement: says no to version " + no + ": " + why);
      return null;
    }
    if (!router.ready(news.proposed().content().withDefaults(base))) {
      if (waited != news.proposedNumber()) {
        waited = news.proposedNumber();
        log.accept("agreement: has not the list yet that version " + waited + " asks for");
      }
      return null;
    }
    log.accept("agreement: says yes to version " + news.proposed().number());
    return news.proposed();
  }

  /**
   * What was read is still so, by a swap without changes, which a store decides by a quorum
   * whatever its members answer to reads. The lease begins when the earlier of the two calls was
   * sent that it rests on.
   */
  private void confirmed(long now, StoreResponse.Success given) {
    if (given.conditionsHeld()) {
      unconfirmed = 0;
      leaseUntil = Math.min(sentAt, aliveSince) + timing.leaseNanos();
      confirmAt = sentAt + spread(timing.renewIntervalNanos());
      tellGround();
      return;
    }
    looked = false;
    if (++unconfirmed > 1) {
      failed(now, Aim.CONFIRM, "it answers reads with what is no longer so: a member that lags");
    }
  }

  private void hasJoined(StoreResponse.Success given) {
    namesakes = null;
    looked = false;
    if (given.conditionsHeld()) {
      joined = true;
      kept = kept.joined(true);
      router.keep(kept);
      basis = kept;
      mustSpeak = false;
      tellGround();
      log.accept("agreement: joined as " + name + "/" + incarnation);
    }
  }

  private void hasSpoken(StoreResponse.Success given) {
    mustSpeak = false;
    if (!given.conditionsHeld()) {
      log.accept("agreement: was declared lost, joins anew");
      joined = false;
      basis = null;
      kept = kept.joined(false);
      router.keep(kept);
      leaseUntil = Long.MIN_VALUE;
      tellGround();
    }
  }

  private void decide(long now, StoreResponse.Success alive) {
    try {
      step = steps.dueStep(seen, roster, alive);
    } catch (AgreementException e) {
      failed(now, Aim.ALIVES, e.getMessage());
      return;
    }
    if (step == null) {
      roster = null;
      officeAt = now + spread(timing.renewIntervalNanos() / 2);
    }
  }

  /** Tells the router what it may act on, now and once its lease is over. */
  private void tellGround() {
    if (basis == null) {
      // What was held out when it was last told is held out still, whatever came since.
      ConfigContent known = kept.actingVersion().content().withDefaults(base);
      ConfigContent strict =
          StrictestCommonConfig.strict(
              kept.ackedVersion() == null
                  ? known
                  : StrictestCommonConfig.between(
                      known, kept.ackedVersion().content().withDefaults(base)));
      router.ground(
          new EffectiveConfig(Long.MIN_VALUE, strict, "strict ground", strict, "strict ground"));
      return;
    }
    ConfigContent acting = basis.actingVersion().content().withDefaults(base);
    String as =
        basis.actingVersion().number() == 0
            ? "its own configuration"
            : "version " + basis.actingVersion().number();
    ConfigVersion next = basis.ackedVersion();
    router.ground(
        next == null
            ? new EffectiveConfig(leaseUntil, acting, as, acting, as + " without a lease")
            : new EffectiveConfig(
                leaseUntil,
                acting,
                as,
                StrictestCommonConfig.between(acting, next.content().withDefaults(base)),
                "safe ground between " + as + " and version " + next.number()));
  }

  /**
   * What to ask the store at a planned end, in their order; no answer is waited for long. Once its
   * line is gone others move on without its yes: what it kept is nothing to start on, which is kept
   * first.
   */
  public List<StoreRequest> leave() {
    if (!joined) {
      return List.of();
    }
    kept = kept.joined(false);
    router.keep(kept);
    return List.of(
        new StoreRequest.Transaction(
            List.of(new StoreRequest.Condition.Exists(keys.member(name, incarnation))),
            List.of(new StoreRequest.Change.Delete(keys.member(name, incarnation)))),
        new StoreRequest.Revoke(lease));
  }

  /** Spread by chance, so that many routers do not call in step. */
  private long spread(long time) {
    long part = Math.max(1, time / SPREAD_PARTS);
    return time - part + random.nextLong(2 * part);
  }
}
