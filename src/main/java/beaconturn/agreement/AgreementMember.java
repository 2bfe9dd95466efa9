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
  private StoreResponse.Given namesakes;
  private StoreResponse.Given roster;
  private AgreementTransactions.Step step;
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
                    + kept.acting().number()
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
    if (!looked || (now >= lookAt && (seen.open() || seen.identity().isEmpty()))) {
      return out(Aim.LOOK, new StoreRequest.Read(keys.common()));
    }
    if (seen.identity().isEmpty()) {
      return null;
    }
    if (!joined) {
      return namesakes == null
          ? out(Aim.NAMESAKES, new StoreRequest.Read(keys.rosters() + name + "/"))
          : out(Aim.JOIN, join());
    }
    if (mustSpeak) {
      return out(Aim.SPEAK, speak());
    }
    if (now >= confirmAt) {
      return out(
          Aim.CONFIRM,
          new StoreRequest.Swap(
              List.of(
                  seen.unchanged(keys.identity()),
                  seen.unchanged(keys.current()),
                  seen.unchanged(keys.next())),
              List.of()));
    }
    return seen.open() ? lookAfter(now) : null;
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
        : new StoreRequest.Swap(
            List.of(new StoreRequest.Condition.Stands(keys.alive(name, incarnation))),
            List.of(
                new StoreRequest.Change.Put(keys.sight(name, incarnation), sight.text(), lease)));
  }

  /** Takes the answer to the call of {@link #tells}. */
  public void told(EndpointView sight, StoreResponse answer) {
    if (answer instanceof StoreResponse.Given given && given.held()) {
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
    long looks = seen == null || seen.open() || seen.identity().isEmpty() ? lookAt : Long.MAX_VALUE;
    long confirms = joined ? confirmAt : Long.MAX_VALUE;
    long at = Math.max(waitUntil, Math.min(Math.min(looks, renewAt), confirms));
    return seen != null && joined && seen.open() && mine()
        ? Math.max(waitUntil, Math.min(at, officeAt))
        : at;
  }

  /** Whether the office is this router's, or nobody's. */
  private boolean mine() {
    return seen.office().isEmpty() || seen.office().equals(incarnation);
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
    if (seen.office().isEmpty()) {
      return out(
          Aim.OFFICE,
          new StoreRequest.Swap(
              List.of(new StoreRequest.Condition.Unchanged(keys.office(), 0)),
              List.of(new StoreRequest.Change.Put(keys.office(), incarnation, lease))));
    }
    if (step != null) {
      return out(Aim.STEP, step.swap());
    }
    return roster == null
        ? out(Aim.ROSTER, new StoreRequest.Read(keys.rosters()))
        : out(Aim.ALIVES, new StoreRequest.Read(keys.alives()));
  }

  private MemberRecord seat() {
    return new MemberRecord(
        name,
        incarnation,
        Math.max(kept.acting().number(), kept.next() == null ? 0 : kept.next().number()),
        no,
        why,
        kept.acting().number());
  }

  /**
   * On what was seen: if a step was taken meanwhile it looks again, so that nobody misses its yes.
   */
  private StoreRequest.Swap join() {
    List<StoreRequest.Change> changes = new ArrayList<>();
    if (!shared) {
      // Whoever had this name before is dead: its address is this process's.
      namesakes.pairs().stream()
          .filter(p -> !p.key().equals(keys.roster(name, incarnation)))
          .forEach(p -> changes.add(new StoreRequest.Change.Delete(p.key())));
    }
    changes.add(new StoreRequest.Change.Put(keys.roster(name, incarnation), seat().text(), 0));
    changes.add(new StoreRequest.Change.Put(keys.alive(name, incarnation), "", lease));
    return new StoreRequest.Swap(
        List.of(
            seen.unchanged(keys.identity()),
            seen.unchanged(keys.current()),
            seen.unchanged(keys.next())),
        changes);
  }

  /** Only while its line stands: one that was declared lost does not come back by speaking. */
  private StoreRequest.Swap speak() {
    return new StoreRequest.Swap(
        List.of(new StoreRequest.Condition.Stands(keys.roster(name, incarnation))),
        List.of(new StoreRequest.Change.Put(keys.roster(name, incarnation), seat().text(), 0)));
  }

  /** Takes the answer to the call that was out; {@code now} is when it came. */
  public void answered(long now, StoreResponse answer) {
    Aim was = aim;
    aim = null;
    if (!(answer instanceof StoreResponse.Given given)) {
      failed(now, was, ((StoreResponse.Failed) answer).why());
      return;
    }
    if (!kept.cluster().isEmpty() && !given.cluster().equals(kept.cluster())) {
      failed(
          now,
          was,
          "it is another cluster, "
              + given.cluster()
              + " and not "
              + kept.cluster()
              + ": it was restored or replaced");
      return;
    }
    if (given.revision() < kept.revision()) {
      failed(now, was, "it is behind what was seen: a member that lags, or an older copy");
      return;
    }
    switch (was) {
      case LEASE -> {
        lease = given.lease();
        aliveSince = sentAt;
        renewAt = sentAt + spread(timing.renewEvery());
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
        if (given.held()) {
          log.accept("agreement: " + step.says());
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
    long back = timing.renewEvery() / LONGEST_BACK_OFF * Math.min(LONGEST_BACK_OFF, failures);
    waitUntil = now + spread(back);
  }

  private void renewed(StoreResponse.Given given) {
    if (given.seconds() > 0) {
      aliveSince = sentAt;
      renewAt = sentAt + spread(timing.renewEvery());
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

  private void saw(long now, StoreResponse.Given given) {
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
    lookAt = sentAt + spread(timing.renewEvery());
    boolean wasVacant = seen != null && seen.open() && seen.office().isEmpty();
    seen = news;
    if (news.identity().isEmpty()) {
      return;
    }
    if (news.open() && news.office().isEmpty() && !wasVacant) {
      // All see it at about the same time; one is enough.
      officeAt = now + random.nextLong(Math.max(1, timing.renewEvery()));
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
    if (kept.identity().isEmpty()) {
      return null;
    }
    if (!news.identity().equals(kept.identity())) {
      return "it holds "
          + (news.identity().isEmpty() ? "no agreement" : "agreement " + news.identity())
          + " and not "
          + kept.identity()
          + ": it was replaced";
    }
    ConfigVersion acting = kept.acting();
    if (news.current().number() < acting.number()
        || (news.current().number() == acting.number() && !news.current().same(acting))) {
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
        kept.next() != null && kept.next().number() > acting.number() ? kept.next() : null;
    if (news.nextNumber() == 0) {
      // What was turned down can come into force no more.
      next = null;
    } else if (next == null || next.number() < news.nextNumber()) {
      next = consider(news);
    }
    kept =
        new PersistedConfig(news.identity(), news.cluster(), news.revision(), joined, acting, next);
    boolean changed =
        !before.identity().equals(kept.identity())
            || !before.acting().same(acting)
            || (before.next() == null ? 0 : before.next().number())
                != (next == null ? 0 : next.number());
    if (changed && !router.keep(kept) && next != null && next != before.next()) {
      // A yes that a restart forgets would be none.
      no = next.number();
      why = "it cannot be kept for a restart";
      kept =
          new PersistedConfig(
              news.identity(), news.cluster(), news.revision(), joined, acting, before.next());
    }
    if (changed) {
      mustSpeak = true;
      if (!before.acting().same(acting)) {
        log.accept("agreement: acts on version " + acting.number() + " (" + acting.reason() + ")");
      }
    }
  }

  /** The proposed version if it is said yes to, else null; says no with the reason. */
  private ConfigVersion consider(AgreementSnapshot news) {
    if (no == news.nextNumber()) {
      return null;
    }
    String objection =
        news.next() == null
            ? news.unreadable()
            : router.objection(news.next().content().over(base));
    if (objection != null) {
      no = news.nextNumber();
      why = objection;
      mustSpeak = true;
      log.accept("agreement: says no to version " + no + ": " + why);
      return null;
    }
    if (!router.ready(news.next().content().over(base))) {
      if (waited != news.nextNumber()) {
        waited = news.nextNumber();
        log.accept("agreement: has not the list yet that version " + waited + " asks for");
      }
      return null;
    }
    log.accept("agreement: says yes to version " + news.next().number());
    return news.next();
  }

  /**
   * What was read is still so, by a swap without changes, which a store decides by a quorum
   * whatever its members answer to reads. The lease begins when the earlier of the two calls was
   * sent that it rests on.
   */
  private void confirmed(long now, StoreResponse.Given given) {
    if (given.held()) {
      unconfirmed = 0;
      leaseUntil = Math.min(sentAt, aliveSince) + timing.lease();
      confirmAt = sentAt + spread(timing.renewEvery());
      tellGround();
      return;
    }
    looked = false;
    if (++unconfirmed > 1) {
      failed(now, Aim.CONFIRM, "it answers reads with what is no longer so: a member that lags");
    }
  }

  private void hasJoined(StoreResponse.Given given) {
    namesakes = null;
    looked = false;
    if (given.held()) {
      joined = true;
      kept = kept.joined(true);
      router.keep(kept);
      basis = kept;
      mustSpeak = false;
      tellGround();
      log.accept("agreement: joined as " + name + "/" + incarnation);
    }
  }

  private void hasSpoken(StoreResponse.Given given) {
    mustSpeak = false;
    if (!given.held()) {
      log.accept("agreement: was declared lost, joins anew");
      joined = false;
      basis = null;
      kept = kept.joined(false);
      router.keep(kept);
      leaseUntil = Long.MIN_VALUE;
      tellGround();
    }
  }

  private void decide(long now, StoreResponse.Given alive) {
    try {
      step = steps.due(seen, roster, alive);
    } catch (AgreementException e) {
      failed(now, Aim.ALIVES, e.getMessage());
      return;
    }
    if (step == null) {
      roster = null;
      officeAt = now + spread(timing.renewEvery() / 2);
    }
  }

  /** Tells the router what it may act on, now and once its lease is over. */
  private void tellGround() {
    if (basis == null) {
      // What was held out when it was last told is held out still, whatever came since.
      ConfigContent known = kept.acting().content().over(base);
      ConfigContent strict =
          StrictestCommonConfig.strict(
              kept.next() == null
                  ? known
                  : StrictestCommonConfig.between(known, kept.next().content().over(base)));
      router.ground(
          new EffectiveConfig(Long.MIN_VALUE, strict, "strict ground", strict, "strict ground"));
      return;
    }
    ConfigContent acting = basis.acting().content().over(base);
    String as =
        basis.acting().number() == 0
            ? "its own configuration"
            : "version " + basis.acting().number();
    ConfigVersion next = basis.next();
    router.ground(
        next == null
            ? new EffectiveConfig(leaseUntil, acting, as, acting, as + " without a lease")
            : new EffectiveConfig(
                leaseUntil,
                acting,
                as,
                StrictestCommonConfig.between(acting, next.content().over(base)),
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
        new StoreRequest.Swap(
            List.of(new StoreRequest.Condition.Stands(keys.roster(name, incarnation))),
            List.of(new StoreRequest.Change.Delete(keys.roster(name, incarnation)))),
        new StoreRequest.Revoke(lease));
  }

  /** Spread by chance, so that many routers do not call in step. */
  private long spread(long time) {
    long part = Math.max(1, time / SPREAD_PARTS);
    return time - part + random.nextLong(2 * part);
  }
}
