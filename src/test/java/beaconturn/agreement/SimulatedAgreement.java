package beaconturn.agreement;

import beaconturn.standin.EventScheduler;
import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Members before a store, in virtual time: calls take a while, get lost on the way there or back,
 * processes stand still, die and come again, and each clock runs at its own pace. Everybody acts
 * all the time, and each act is checked against what was in force.
 */
final class SimulatedAgreement {
  static final long MILLI = 1_000_000;
  static final long SECOND = 1000 * MILLI;
  static final AgreementTiming TIMING = new AgreementTiming(2 * SECOND, 0.02, 50 * MILLI);
  static final ConfigContent BASE = StrictestCommonConfigTest.any(new Random(99));
  private static final AgreementKeys KEYS = new AgreementKeys("/fleet");
  private static final long ACT_EVERY = 20 * MILLI;
  final EventScheduler scheduler = new EventScheduler(0);
  final List<SimulatedMember> simulatedMembers = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  final List<InForce> inForce = new ArrayList<>();

  /** Hears each request, answer, callback and log line of every member, as text. */
  Consumer<String> trace = line -> {};

  final Random random;
  final StoreModel store;
  long acts;
  int loseNext;

  record InForce(long at, ConfigVersion version) {}

  /** One router: what stands between it and the store, and the process that lives at the moment. */
  final class SimulatedMember implements AgreementCallbacks {
    final String name;
    final double pace;
    boolean cut;
    boolean oneWay;
    boolean ignoresLease;
    boolean restoresPersisted = true;

    /** False where the disk is full: what is written is never there. */
    boolean canPersist = true;

    long list = Long.MAX_VALUE;
    long pausedUntil;
    PersistedConfig persisted = PersistedConfig.EMPTY;
    AgreementMember member;
    EffectiveConfig effectiveConfig;
    int life;

    private SimulatedMember(String name, double pace) {
      this.name = name;
      this.pace = pace;
    }

    /** The time of its own clock. */
    long now() {
      return (long) (scheduler.now() * pace);
    }

    void start() {
      int born = ++life;
      member =
          new AgreementMember(
              KEYS,
              TIMING,
              new MemberIdentity(name, name + "." + born, false),
              BASE,
              restoresPersisted ? persisted : PersistedConfig.EMPTY,
              random.nextLong(),
              now(),
              this,
              line -> trace.accept(name + " logs " + line));
      step(born);
    }

    void die() {
      life++;
      member = null;
      effectiveConfig = null;
    }

    private void step(int born) {
      if (born != life) {
        return;
      }
      if (scheduler.now() < pausedUntil) {
        scheduler.at(pausedUntil, () -> step(born));
        return;
      }
      StoreRequest call = member.nextRequest(now());
      trace.accept(scheduler.now() + " " + name + " asks " + TraceText.of(call));
      if (call == null) {
        trace.accept("until " + member.nextRequestAtNanos());
        long wait = (long) ((member.nextRequestAtNanos() - now()) / pace);
        scheduler.in(Math.max(MILLI, wait), () -> step(born));
        return;
      }
      long way = MILLI + random.nextInt(20) * MILLI;
      boolean hears = !cut;
      boolean told = hears && !oneWay;
      scheduler.in(
          way,
          () -> {
            StoreResponse answer = hears ? serve(call) : null;
            scheduler.in(
                told ? way : TIMING.requestTimeoutNanos() - way,
                () ->
                    heard(
                        born,
                        told && !cut && !oneWay
                            ? answer
                            : new StoreResponse.RequestFailed("no answer in time")));
          });
    }

    private void heard(int born, StoreResponse answer) {
      if (born != life) {
        return;
      }
      if (scheduler.now() < pausedUntil) {
        scheduler.at(pausedUntil, () -> heard(born, answer));
        return;
      }
      trace.accept(scheduler.now() + " " + name + " hears " + TraceText.of(answer));
      member.handleResponse(now(), answer);
      step(born);
    }

    private void act() {
      if (effectiveConfig != null && scheduler.now() >= pausedUntil) {
        acts++;
        check(
            this, ignoresLease ? effectiveConfig.whileLeased() : effectiveConfig.contentAt(now()));
      }
    }

    @Override
    public void effectiveConfigChanged(EffectiveConfig next) {
      effectiveConfig = next;
      trace.accept(name + " acts on " + TraceText.of(next));
    }

    @Override
    public boolean persist(PersistedConfig next) {
      persisted = next;
      trace.accept(name + " keeps " + next.encode());
      return canPersist;
    }

    @Override
    public boolean isReadyFor(ConfigContent content) {
      return list >= content.minListVersion();
    }

    @Override
    public String objection(ConfigContent content) {
      return content.excludedServers().containsAll(List.of("c1", "c2", "c3"))
          ? "too few are left"
          : null;
    }
  }

  SimulatedAgreement(long seed, int routers) {
    this.random = new Random(seed);
    this.store =
        new StoreModel(
            scheduler,
            7,
            (at, revision, key, value) -> {
              if (key.equals(KEYS.commonPrefix() + "current") && value != null) {
                cameIntoForce(value);
              }
            });
    for (int i = 0; i < routers; i++) {
      simulatedMembers.add(
          new SimulatedMember("r" + i, 1 + (random.nextDouble() - 0.5) * TIMING.clockDrift()));
    }
    scheduler.in(0, this::acting);
  }

  private void cameIntoForce(String text) {
    try {
      inForce.add(new InForce(scheduler.now(), ConfigCodec.decodeVersion(text)));
    } catch (AgreementException e) {
      throw new IllegalStateException(e);
    }
  }

  private void acting() {
    simulatedMembers.forEach(SimulatedMember::act);
    scheduler.in(ACT_EVERY, this::acting);
  }

  /**
   * What is acted on must be allowed by a version that is in force, or was within the stated time.
   */
  private void check(SimulatedMember process, ConfigContent acting) {
    boolean allowed =
        inForce.isEmpty()
            || (scheduler.now() - inForce.get(0).at() <= TIMING.maxStalenessNanos()
                && ConfigConflicts.violations(acting, ConfigContent.UNSPECIFIED.withDefaults(BASE))
                    .isEmpty());
    List<String> breaks = List.of();
    for (int i = inForce.size() - 1; i >= 0 && !allowed; i--) {
      breaks =
          ConfigConflicts.violations(acting, inForce.get(i).version().content().withDefaults(BASE));
      allowed = breaks.isEmpty();
      if (scheduler.now() - inForce.get(i).at() > TIMING.maxStalenessNanos()) {
        break;
      }
    }
    if (!allowed && !strict(breaks, acting)) {
      violations.add(
          scheduler.now() / MILLI
              + " ms: "
              + process.name
              + " acts against "
              + breaks
              + " of "
              + inForce.get(inForce.size() - 1).version().number());
    }
  }

  /** Who does not know what is in force holds out what it knew to be out; it repeats nothing. */
  private static boolean strict(List<String> breaks, ConfigContent acting) {
    return acting.maxAttempts() == 1
        && !acting.hedging()
        && acting.classes().values().stream()
            .allMatch(rule -> rule.idempotency() == ClassIdempotency.NON_IDEMPOTENT)
        && breaks.stream().allMatch(f -> f.startsWith("out.") || f.equals("oldest_list"));
  }

  /** What operators see, at once; the answer to a swap may be lost. */
  ConfigAdmin admin() {
    return new ConfigAdmin(
        KEYS,
        call -> {
          StoreResponse answer = serve(call);
          return call instanceof StoreRequest.Transaction && loseNext-- > 0
              ? new StoreResponse.RequestFailed("lost")
              : answer;
        });
  }

  StoreResponse serve(StoreRequest call) {
    return StoreModelClient.of(store, call);
  }

  void run(long time) {
    scheduler.advance(scheduler.now() + time);
  }

  /** Begins the agreement and has all routers join. */
  void begin() throws AgreementException {
    admin().begin("first");
    simulatedMembers.forEach(SimulatedMember::start);
    run(5 * SECOND);
  }

  /** Runs until the version is in force and settled; false if it is not within the time. */
  boolean settles(long number, long within) throws AgreementException {
    for (long end = scheduler.now() + within; scheduler.now() < end; run(100 * MILLI)) {
      if (admin().status().snapshot().settledNumber() >= number) {
        return true;
      }
    }
    return false;
  }
}
