package beaconturn.agreement;

import beaconturn.standin.EventScheduler;
import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulates a fleet of members and a store in virtual time. Requests and responses are delayed and
 * lost, processes pause, crash and restart, and clocks drift. At a fixed interval the configuration
 * that each member acts on is checked against the versions in force.
 */
final class SimulatedAgreement {
  static final long MILLI_NANOS = 1_000_000;
  static final long SECOND_NANOS = 1000 * MILLI_NANOS;
  static final AgreementTiming TIMING =
      new AgreementTiming(2 * SECOND_NANOS, 0.02, 50 * MILLI_NANOS);
  static final ConfigContent LOCAL_CONTENT =
      StrictestCommonConfigTest.randomContent(new Random(99));
  private static final AgreementKeys KEYS = new AgreementKeys("/fleet");
  private static final long ACTION_INTERVAL_NANOS = 20 * MILLI_NANOS;
  final EventScheduler scheduler = new EventScheduler(0);
  final List<SimulatedMember> members = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  final List<VersionInForce> versionsInForce = new ArrayList<>();

  /** Receives every request, response, callback and log line of all members as text. */
  Consumer<String> trace = line -> {};

  final Random random;
  final StoreModel store;
  long actionCount;
  int responsesToLose;

  record VersionInForce(long sinceNanos, ConfigVersion version) {}

  /** A router with its current process and its simulated connection to the store. */
  final class SimulatedMember implements AgreementCallbacks {
    final String name;
    final double clockRate;
    boolean disconnected;
    boolean losesResponses;
    boolean ignoresLease;
    boolean restoresPersisted = true;

    /** False if writes of the persisted configuration fail, as on a full disk. */
    boolean canPersist = true;

    long listVersion = Long.MAX_VALUE;
    long pausedUntilNanos;
    PersistedConfig persisted = PersistedConfig.EMPTY;
    AgreementMember member;
    EffectiveConfig effectiveConfig;
    int currentProcess;

    private SimulatedMember(String name, double clockRate) {
      this.name = name;
      this.clockRate = clockRate;
    }

    /** Returns the time of the member's own clock. */
    long now() {
      return (long) (scheduler.now() * clockRate);
    }

    void start() {
      int process = ++currentProcess;
      member =
          new AgreementMember(
              KEYS,
              TIMING,
              new MemberIdentity(name, name + "." + process, false),
              LOCAL_CONTENT,
              restoresPersisted ? persisted : PersistedConfig.EMPTY,
              random.nextLong(),
              now(),
              this,
              line -> trace.accept(name + " logs " + line));
      step(process);
    }

    void crash() {
      currentProcess++;
      member = null;
      effectiveConfig = null;
    }

    private void step(int process) {
      if (process != currentProcess) {
        return;
      }
      if (scheduler.now() < pausedUntilNanos) {
        scheduler.at(pausedUntilNanos, () -> step(process));
        return;
      }
      StoreRequest request = member.nextRequest(now());
      trace.accept(scheduler.now() + " " + name + " asks " + TraceText.of(request));
      if (request == null) {
        trace.accept("until " + member.nextRequestAtNanos());
        long waitNanos = (long) ((member.nextRequestAtNanos() - now()) / clockRate);
        scheduler.in(Math.max(MILLI_NANOS, waitNanos), () -> step(process));
        return;
      }
      long latencyNanos = MILLI_NANOS + random.nextInt(20) * MILLI_NANOS;
      boolean requestDelivered = !disconnected;
      boolean responseDelivered = requestDelivered && !losesResponses;
      scheduler.in(
          latencyNanos,
          () -> {
            StoreResponse response = requestDelivered ? serve(request) : null;
            scheduler.in(
                responseDelivered ? latencyNanos : TIMING.requestTimeoutNanos() - latencyNanos,
                () ->
                    handleResponse(
                        process,
                        responseDelivered && !disconnected && !losesResponses
                            ? response
                            : new StoreResponse.RequestFailed("no answer in time")));
          });
    }

    private void handleResponse(int process, StoreResponse response) {
      if (process != currentProcess) {
        return;
      }
      if (scheduler.now() < pausedUntilNanos) {
        scheduler.at(pausedUntilNanos, () -> handleResponse(process, response));
        return;
      }
      trace.accept(scheduler.now() + " " + name + " hears " + TraceText.of(response));
      member.handleResponse(now(), response);
      step(process);
    }

    private void checkAction() {
      if (effectiveConfig != null && scheduler.now() >= pausedUntilNanos) {
        actionCount++;
        checkAllowed(
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
      return listVersion >= content.minListVersion();
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
                recordVersionInForce(value);
              }
            });
    for (int i = 0; i < routers; i++) {
      members.add(
          new SimulatedMember("r" + i, 1 + (random.nextDouble() - 0.5) * TIMING.clockDrift()));
    }
    scheduler.in(0, this::checkAllMembers);
  }

  private void recordVersionInForce(String text) {
    try {
      versionsInForce.add(new VersionInForce(scheduler.now(), ConfigCodec.decodeVersion(text)));
    } catch (AgreementException e) {
      throw new IllegalStateException(e);
    }
  }

  private void checkAllMembers() {
    members.forEach(SimulatedMember::checkAction);
    scheduler.in(ACTION_INTERVAL_NANOS, this::checkAllMembers);
  }

  /** Requires a version, in force now or within the staleness bound, that allows the action. */
  private void checkAllowed(SimulatedMember member, ConfigContent acting) {
    boolean allowed =
        versionsInForce.isEmpty()
            || (scheduler.now() - versionsInForce.get(0).sinceNanos() <= TIMING.maxStalenessNanos()
                && ConfigConflicts.violations(
                        acting, ConfigContent.UNSPECIFIED.withDefaults(LOCAL_CONTENT))
                    .isEmpty());
    List<String> violatedFields = List.of();
    for (int i = versionsInForce.size() - 1; i >= 0 && !allowed; i--) {
      violatedFields =
          ConfigConflicts.violations(
              acting, versionsInForce.get(i).version().content().withDefaults(LOCAL_CONTENT));
      allowed = violatedFields.isEmpty();
      if (scheduler.now() - versionsInForce.get(i).sinceNanos() > TIMING.maxStalenessNanos()) {
        break;
      }
    }
    if (!allowed && !isAllowedWithoutVersion(violatedFields, acting)) {
      violations.add(
          scheduler.now() / MILLI_NANOS
              + " ms: "
              + member.name
              + " acts against "
              + violatedFields
              + " of "
              + versionsInForce.get(versionsInForce.size() - 1).version().number());
    }
  }

  /**
   * Whether a member that does not know the version in force may act on the content: the content
   * repeats no request, and violates only exclusions and list versions that the member cannot know.
   */
  private static boolean isAllowedWithoutVersion(
      List<String> violatedFields, ConfigContent acting) {
    return acting.maxAttempts() == 1
        && !acting.hedging()
        && acting.classes().values().stream()
            .allMatch(rule -> rule.idempotency() == ClassIdempotency.NON_IDEMPOTENT)
        && violatedFields.stream()
            .allMatch(field -> field.startsWith("out.") || field.equals("oldest_list"));
  }

  /** Returns the operators' client; responses to its transactions are lost as configured. */
  ConfigAdmin admin() {
    return new ConfigAdmin(
        KEYS,
        request -> {
          StoreResponse response = serve(request);
          return request instanceof StoreRequest.Transaction && responsesToLose-- > 0
              ? new StoreResponse.RequestFailed("lost")
              : response;
        });
  }

  StoreResponse serve(StoreRequest request) {
    return StoreModelClient.of(store, request);
  }

  void run(long durationNanos) {
    scheduler.advance(scheduler.now() + durationNanos);
  }

  /** Creates the agreement and lets all routers join. */
  void begin() throws AgreementException {
    admin().begin("first");
    members.forEach(SimulatedMember::start);
    run(5 * SECOND_NANOS);
  }

  /** Runs until the version is settled; returns false if it is not settled within the timeout. */
  boolean settlesWithin(long number, long timeoutNanos) throws AgreementException {
    long endNanos = scheduler.now() + timeoutNanos;
    for (; scheduler.now() < endNanos; run(100 * MILLI_NANOS)) {
      if (admin().status().snapshot().settledNumber() >= number) {
        return true;
      }
    }
    return false;
  }
}
