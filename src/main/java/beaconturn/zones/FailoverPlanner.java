package beaconturn.zones;

import java.util.Collection;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Decides what the leader does: from the plan at hand and what routers report to the next plan, or
 * none. What it remembers by itself is evidence and since when it has stood; a leader that takes
 * over waits for its own. For one thread; all times are nanoseconds of its clock.
 *
 * <p>The rules: {@link EvidenceAggregator} (what is known of a zone), {@link ZoneOutages}
 * (confirmation and recovery), {@link SharedOutageRule}, {@link HomeWeightRule} (how much a zone
 * serves itself), {@link DestinationRule} (who takes the rest), {@link StepLimits}, and {@link
 * ZoneStateRule}.
 */
public final class FailoverPlanner {
  private final ZoneTopology topology;
  private final FailoverTiming timing;
  private final EvidenceAggregator evidence;
  private final ZoneTraffic traffic;
  private final ZoneOutages outages;
  private final SharedOutageRule sharedOutage;
  private final HomeWeightRule nearWeights;
  private final DestinationRule destinations;
  private final StepLimits stepLimits;
  private final ZoneStateRule zoneStates;

  /** The number of the plan at hand, and since when it stands by this leader's clock. */
  private long planNumber = -1;

  private long planSinceNanos;
  private String waitReason = "";

  /**
   * A planner over these zones.
   *
   * @param windowNanos evidence is compared over so long
   * @param staleNanos a router that reports nothing new for so long is not heard
   * @param withdrawnNanos a report that is gone sooner than so after it grew was withdrawn by its
   *     router
   */
  public FailoverPlanner(
      ZoneTopology topology,
      FailoverTiming timing,
      long windowNanos,
      long staleNanos,
      long withdrawnNanos) {
    this.topology = topology;
    this.timing = timing;
    this.evidence =
        new EvidenceAggregator(
            topology, windowNanos, staleNanos, timing.maxRecoveryNanos(), withdrawnNanos);
    this.traffic = new ZoneTraffic(evidence, windowNanos);
    this.outages = new ZoneOutages(evidence, timing);
    this.sharedOutage =
        new SharedOutageRule(topology, evidence, windowNanos, timing.confirmNanos());
    ZoneCapacity capacity = new ZoneCapacity(topology, evidence, traffic);
    this.nearWeights = new HomeWeightRule(topology, evidence, traffic, capacity, outages, timing);
    this.destinations = new DestinationRule(topology, evidence, traffic, capacity, outages);
    this.stepLimits = new StepLimits(topology, traffic, timing.stepIntervalNanos());
    this.zoneStates = new ZoneStateRule(topology, evidence, timing);
  }

  /** What the last decision had to wait for, in words; empty where nothing. */
  public String waitReason() {
    return waitReason;
  }

  /** What the evidence says of each zone, and of routers that are alone with theirs, in words. */
  public SortedMap<String, String> describeEvidence() {
    SortedMap<String, String> all = new TreeMap<>();
    for (String zone : topology.zones()) {
      String health = words(evidence.healthOf(zone).name());
      all.put(zone, health + ", " + evidence.describe(zone));
    }
    for (String router : evidence.brokenRouters()) {
      all.put(router, "broken router: finds nothing good while its neighbours do");
    }
    if (sharedOutage.isShared()) {
      all.put("all", "most are bad at once: a cause that they share, nothing is moved");
    }
    return all;
  }

  private static String words(String name) {
    return name.toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  /**
   * The next plan, or null while nothing is to change.
   *
   * @param plan the plan at hand
   * @param leader the incarnation that makes it
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
      planSinceNanos = nowNanos;
    }
    traffic.update(topology.zones(), nowNanos);
    outages.update(topology.zones(), nowNanos);
    if (sharedOutage.forbidsMoves(plan, nowNanos)) {
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

  /** Decides on the allocation of one zone. */
  private void decide(PlanDraft draft, String home) {
    ZoneOverride override = draft.overrideOf(home);
    if (isOfKind(override, ZoneOverrideKind.HOLD)) {
      return;
    }
    boolean drained = isOfKind(override, ZoneOverrideKind.DRAIN);
    boolean evacuated = drained || outages.isConfirmed(home, draft.nowNanos());
    int currentWeight = draft.base().allocationOf(home).weightOf(home);
    int nearWeight = nearWeights.wantedWeight(draft, home, evacuated);
    if (isOfKind(override, ZoneOverrideKind.WEIGHT)) {
      nearWeight = Math.min(nearWeight, override.maxHomeWeight());
    }
    if (nearWeight > currentWeight && !drained && !mayReturn(draft, home)) {
      draft.waitFor(home + " has to be good for longer before its keys come back");
      nearWeight = currentWeight;
    }
    if (nearWeight > currentWeight) {
      if (!stepLimits.allowsStep(home, draft.nowNanos())) {
        return;
      }
      nearWeight = Math.min(nearWeight, currentWeight + StepLimits.RETURN_STEP_WEIGHT);
    }
    ZoneAllocation wanted = destinations.allocate(draft, home, nearWeight);
    if (nearWeight != currentWeight || !destinations.isAboutTheSame(draft, home, wanted)) {
      move(draft, home, wanted, evacuated);
    }
  }

  private static boolean isOfKind(ZoneOverride override, ZoneOverrideKind kind) {
    return override != null && override.kind() == kind;
  }

  /** Whether more of a zone's keys may come back. */
  private boolean mayReturn(PlanDraft draft, String home) {
    ZoneState state = draft.stateOf(home);
    if (ZoneState.isAway(state)) {
      return outages.hasRecovered(home, draft.flapCountOf(home), draft.nowNanos());
    }
    return state != ZoneState.RETURNING || evidence.isGoodFrom(home, home);
  }

  private void move(PlanDraft draft, String home, ZoneAllocation wanted, boolean evacuated) {
    ZoneAllocation current = draft.base().allocationOf(home);
    if (StepLimits.isLarge(wanted.weightMovedFrom(current)) && !stepLimits.allowsLargeMove(draft)) {
      draft.waitFor(home + " waits for another large move");
      return;
    }
    ZoneAllocation step = stepLimits.limited(home, current, wanted);
    if (step.equals(current)) {
      return;
    }
    if (StepLimits.isLarge(step.weightMovedFrom(current))) {
      draft.noteLargeMove();
    }
    draft.putAllocation(home, step);
    stepLimits.noteStep(home, draft.nowNanos());
    ZoneState next = enterState(draft, home, step, evacuated);
    draft.addReason(describe(home, next, step));
  }

  private ZoneState enterState(
      PlanDraft draft, String home, ZoneAllocation step, boolean evacuated) {
    ZoneState before = draft.stateOf(home);
    ZoneState next = zoneStates.after(before, home, step, evacuated);
    if (ZoneState.isAway(next) && !ZoneState.isAway(before)) {
      int countBefore = draft.flapCountBeforeLeaving(home);
      draft.putFlapCount(
          home, zoneStates.flapCountAfterLeaving(home, countBefore, draft.nowNanos()));
    }
    zoneStates.noteState(home, next, draft.nowNanos());
    draft.putState(home, next);
    return next;
  }

  private String describe(String home, ZoneState state, ZoneAllocation step) {
    return home
        + " "
        + words(state.name())
        + " "
        + step.weights()
        + ": "
        + evidence.healthOf(home).name().toLowerCase(Locale.ROOT)
        + ", "
        + evidence.describe(home);
  }

  /**
   * The plan of a draft; null where nothing changes, or where more would go somewhere before all
   * have left the plan before.
   */
  private ZonePlan finish(PlanDraft draft, String leader) {
    if (draft.isUnchanged()) {
      return null;
    }
    if (!isActedOnByAll(draft.base(), draft.nowNanos())) {
      draft.waitFor("plan " + draft.base().number() + " is not acted on by all yet");
      return null;
    }
    if (draft.hasLargeMove()) {
      stepLimits.noteLargeMove(draft.nowNanos());
    }
    return draft.toPlan(leader);
  }

  /**
   * Whether no router may act on an older plan any more: the stated time has passed, or all that
   * are heard say that they act on this one.
   */
  private boolean isActedOnByAll(ZonePlan plan, long nowNanos) {
    return nowNanos - planSinceNanos > timing.statedNanos()
        || evidence.reports(nowNanos).stream()
            .allMatch(report -> report.planNumber() >= plan.number());
  }
}
