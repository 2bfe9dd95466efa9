package beaconturn.zones;

import java.util.Collection;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Derives the leader's next plan from the current plan and the reports of the routers. The planner
 * keeps only evidence in memory; after a change of leadership the new leader collects its own. Not
 * thread-safe; all times are nanoseconds of the leader's clock.
 *
 * <p>The decision is composed of {@link EvidenceAggregator} (zone health), {@link ZoneOutages}
 * (confirmation and recovery), {@link SharedOutageRule} (no failover while most zones are
 * unhealthy), {@link HomeWeightRule} (weight that the home zone keeps), {@link DestinationRule}
 * (zones that serve the rest), {@link StepLimits} (size and rate of moves) and {@link
 * ZoneStateRule} (zone states and flap counts).
 */
public final class FailoverPlanner {
  private final ZoneTopology topology;
  private final FailoverTiming timing;
  private final EvidenceAggregator evidence;
  private final ZoneTraffic traffic;
  private final ZoneOutages outages;
  private final SharedOutageRule sharedOutage;
  private final HomeWeightRule homeWeights;
  private final DestinationRule destinations;
  private final StepLimits stepLimits;
  private final ZoneStateRule zoneStates;

  /** Number of the plan that was last seen in force. */
  private long planNumber = -1;

  private long planInForceSinceNanos;
  private String waitReason = "";

  /**
   * Creates a planner for the zones of a topology.
   *
   * @param windowNanos length of the window over which observations are compared
   * @param staleAfterNanos age from which a report without progress is ignored
   * @param withdrawnWithinNanos a report that disappears within this time of its last progress was
   *     withdrawn by its router on shutdown
   */
  public FailoverPlanner(
      ZoneTopology topology,
      FailoverTiming timing,
      long windowNanos,
      long staleAfterNanos,
      long withdrawnWithinNanos) {
    this.topology = topology;
    this.timing = timing;
    this.evidence =
        new EvidenceAggregator(
            topology,
            windowNanos,
            staleAfterNanos,
            timing.maxRecoveryNanos(),
            withdrawnWithinNanos);
    this.traffic = new ZoneTraffic(evidence, windowNanos);
    this.outages = new ZoneOutages(evidence, timing);
    this.sharedOutage =
        new SharedOutageRule(topology, evidence, windowNanos, timing.confirmNanos());
    ZoneCapacity capacity = new ZoneCapacity(topology, evidence, traffic);
    this.homeWeights = new HomeWeightRule(topology, evidence, traffic, capacity, outages, timing);
    this.destinations = new DestinationRule(topology, evidence, traffic, capacity, outages);
    this.stepLimits = new StepLimits(topology, traffic, timing.stepIntervalNanos());
    this.zoneStates = new ZoneStateRule(topology, evidence, timing);
  }

  /** Returns why the last decision was deferred; empty if the decision was not deferred. */
  public String waitReason() {
    return waitReason;
  }

  /** Describes the health of each zone, each faulty router, and whether an outage is shared. */
  public SortedMap<String, String> describeEvidence() {
    SortedMap<String, String> descriptions = new TreeMap<>();
    for (String zone : topology.zones()) {
      String health = lowerCaseWords(evidence.healthOf(zone).name());
      descriptions.put(zone, health + ", " + evidence.describe(zone));
    }
    for (String router : evidence.faultyRouters()) {
      descriptions.put(router, "broken router: finds nothing good while its neighbours do");
    }
    if (sharedOutage.isShared()) {
      descriptions.put("all", "most are bad at once: a cause that they share, nothing is moved");
    }
    return descriptions;
  }

  private static String lowerCaseWords(String name) {
    return name.toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /**
   * Returns the next plan, or null if nothing changes.
   *
   * @param plan the plan in force
   * @param leader name and incarnation of the router that makes the plan
   */
  public ZonePlan next(
      ZonePlan plan,
      Collection<ZoneReport> reports,
      Collection<ZoneOverride> overrides,
      String leader,
      long nowNanos) {
    waitReason = "";
    evidence.update(reports, nowNanos);
    if (plan.number() != planNumber) {
      planNumber = plan.number();
      planInForceSinceNanos = nowNanos;
    }
    traffic.update(topology.zones(), nowNanos);
    outages.update(topology.zones(), nowNanos);
    if (sharedOutage.blocksMoves(plan, nowNanos)) {
      waitReason = "most places are, or were a moment ago, bad at once: nothing is moved";
      outages.restartConfirmation(nowNanos);
      return null;
    }
    PlanDraft draft = new PlanDraft(plan, overrides, nowNanos);
    topology.zones().forEach(zone -> decide(draft, zone));
    ZonePlan next = finish(draft, leader);
    waitReason = draft.waitReason();
    return next;
  }

  private void decide(PlanDraft draft, String home) {
    ZoneOverride override = draft.overrideOf(home);
    if (isOfKind(override, ZoneOverrideKind.HOLD)) {
      return;
    }
    boolean drained = isOfKind(override, ZoneOverrideKind.DRAIN);
    boolean evacuated = drained || outages.isConfirmed(home, draft.nowNanos());
    int currentWeight = draft.base().allocationOf(home).weightOf(home);
    int homeWeight = homeWeights.targetWeight(draft, home, evacuated);
    if (isOfKind(override, ZoneOverrideKind.WEIGHT)) {
      homeWeight = Math.min(homeWeight, override.maxHomeWeight());
    }
    if (homeWeight > currentWeight && !drained && !mayRestore(draft, home)) {
      draft.setWaitReason(home + " has to be good for longer before its keys come back");
      homeWeight = currentWeight;
    }
    if (homeWeight > currentWeight) {
      if (!stepLimits.allowsStep(home, draft.nowNanos())) {
        return;
      }
      homeWeight = Math.min(homeWeight, currentWeight + StepLimits.RETURN_STEP_WEIGHT);
    }
    ZoneAllocation target = destinations.allocate(draft, home, homeWeight);
    if (homeWeight != currentWeight || !destinations.isInsignificantChange(draft, home, target)) {
      move(draft, home, target, evacuated);
    }
  }

  private static boolean isOfKind(ZoneOverride override, ZoneOverrideKind kind) {
    return override != null && override.kind() == kind;
  }

  /** Returns whether the weight of a zone may be increased again. */
  private boolean mayRestore(PlanDraft draft, String home) {
    ZoneState state = draft.stateOf(home);
    if (ZoneState.isServedElsewhere(state)) {
      return outages.hasRecovered(home, draft.flapCountOf(home), draft.nowNanos());
    }
    return state != ZoneState.RETURNING || evidence.isHealthyFrom(home, home);
  }

  private void move(PlanDraft draft, String home, ZoneAllocation target, boolean evacuated) {
    ZoneAllocation current = draft.base().allocationOf(home);
    if (StepLimits.isLarge(target.weightMovedFrom(current)) && !stepLimits.allowsLargeMove(draft)) {
      draft.setWaitReason(home + " waits for another large move");
      return;
    }
    ZoneAllocation step = stepLimits.limitMove(home, current, target);
    if (step.equals(current)) {
      return;
    }
    if (StepLimits.isLarge(step.weightMovedFrom(current))) {
      draft.recordLargeMove();
    }
    draft.putAllocation(home, step);
    stepLimits.recordStep(home, draft.nowNanos());
    ZoneState next = enterState(draft, home, step, evacuated);
    draft.addReason(describe(home, next, step));
  }

  private ZoneState enterState(
      PlanDraft draft, String home, ZoneAllocation step, boolean evacuated) {
    ZoneState before = draft.stateOf(home);
    ZoneState next = zoneStates.after(before, home, step, evacuated);
    if (ZoneState.isServedElsewhere(next) && !ZoneState.isServedElsewhere(before)) {
      int countBefore = draft.flapCountBeforeFailover(home);
      draft.putFlapCount(
          home, zoneStates.flapCountAfterFailover(home, countBefore, draft.nowNanos()));
    }
    zoneStates.recordState(home, next, draft.nowNanos());
    draft.putState(home, next);
    return next;
  }

  private String describe(String home, ZoneState state, ZoneAllocation step) {
    return home
        + " "
        + lowerCaseWords(state.name())
        + " "
        + step.weights()
        + ": "
        + evidence.healthOf(home).name().toLowerCase(Locale.ROOT)
        + ", "
        + evidence.describe(home);
  }

  /**
   * Returns the plan of a draft, or null if nothing changes or some routers may still act on a plan
   * before the base plan. Overlapping plans could send more to a zone than its capacity.
   */
  private ZonePlan finish(PlanDraft draft, String leader) {
    if (draft.isUnchanged()) {
      return null;
    }
    if (!isAdoptedByAll(draft.base(), draft.nowNanos())) {
      draft.setWaitReason("plan " + draft.base().number() + " is not acted on by all yet");
      return null;
    }
    if (draft.hasLargeMove()) {
      stepLimits.recordLargeMove(draft.nowNanos());
    }
    return draft.toPlan(leader);
  }

  /**
   * Returns whether every router has adopted the plan: the overlap time has passed, or all
   * reporting routers state that they act on this plan or a later one.
   */
  private boolean isAdoptedByAll(ZonePlan plan, long nowNanos) {
    return nowNanos - planInForceSinceNanos > timing.planOverlapNanos()
        || evidence.reports(nowNanos).stream()
            .allMatch(report -> report.planNumber() >= plan.number());
  }
}
