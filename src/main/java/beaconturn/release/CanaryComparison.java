package beaconturn.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Compares a changed instance with its peers over the same time, measure by measure. */
final class CanaryComparison {
  private final RolloutPlan plan;
  private final ComparedSamples samples;

  /** A comparison with that many peers together. */
  CanaryComparison(RolloutPlan plan, InstanceSample changed, InstanceSample peers, int peerCount) {
    this.plan = plan;
    this.samples = new ComparedSamples(changed, peers, peerCount);
  }

  /** Compares what has been counted since a baseline. */
  static CanaryComparison since(
      Map<String, InstanceSample> baseline, RolloutSnapshot snapshot, String instanceId) {
    List<String> peerIds = peersOf(snapshot, instanceId);
    InstanceSample peers = InstanceSample.NONE;
    for (String peer : peerIds) {
      // Of one that has reported only since the baseline, nobody knows over which time it counted.
      if (baseline.containsKey(peer)) {
        peers = peers.plus(countedSince(baseline, snapshot, peer));
      }
    }
    InstanceSample changed = countedSince(baseline, snapshot, instanceId);
    return new CanaryComparison(snapshot.plan(), changed, peers, peerIds.size());
  }

  /** Instances of the released kind whose metrics are known. */
  static Set<String> reportingInstances(RolloutSnapshot snapshot) {
    Set<String> reporting = new TreeSet<>(snapshot.samples().keySet());
    reporting.retainAll(snapshot.fleet().group(snapshot.plan().kind()).instanceIds());
    return reporting;
  }

  /** Unchanged instances; where there are none, those that are verified. */
  private static List<String> peersOf(RolloutSnapshot snapshot, String instanceId) {
    Set<String> others = reportingInstances(snapshot);
    others.remove(instanceId);
    List<String> unchanged =
        others.stream().filter(other -> snapshot.phase(other) == null).toList();
    if (!unchanged.isEmpty()) {
      return unchanged;
    }
    return others.stream().filter(other -> snapshot.phase(other) == StepPhase.VERIFIED).toList();
  }

  private static InstanceSample countedSince(
      Map<String, InstanceSample> baseline, RolloutSnapshot snapshot, String instanceId) {
    return snapshot
        .sample(instanceId)
        .since(baseline.getOrDefault(instanceId, InstanceSample.NONE));
  }

  /** The failed share of the changed instance's answers. */
  double changedFailedShare() {
    return samples.changed().failedShare();
  }

  /**
   * The verdict.
   *
   * @param soaked whether the instance has run long enough for measures other than failed answers
   */
  CanaryVerdict verdict(boolean soaked, ComparisonMode mode) {
    String figures = figures();
    if (hasFewResponses()) {
      return CanaryVerdict.pending(figures);
    }
    List<Regression> regressions = new ArrayList<>();
    addShare(regressions, ShareMeasure.FAILED, plan.regressionBounds().failedShare(), mode);
    if (soaked && samples.hasPeers()) {
      if (mode.awaitsReadings() && samples.hasFewReadings()) {
        return CanaryVerdict.pending(figures);
      }
      addSoakedMeasures(regressions, mode);
    }
    return verdict(figures, regressions);
  }

  private String figures() {
    InstanceSample changed = samples.changed();
    InstanceSample peers = samples.peers();
    return String.format(
        Locale.ROOT,
        "%.3f of %d answers bad, %.3f of %d at %d others",
        changed.failedShare(),
        changed.responses(),
        peers.failedShare(),
        peers.responses(),
        samples.peerCount());
  }

  /**
   * Silent peers are no comparison; an instance that has no peers at all is held to the bounds of
   * the plan.
   */
  private boolean hasFewResponses() {
    return samples.changed().responses() < plan.minResponses()
        || (samples.hasPeers() && samples.peers().responses() < plan.minResponses());
  }

  private void addSoakedMeasures(List<Regression> regressions, ComparisonMode mode) {
    RegressionBounds bounds = plan.regressionBounds();
    addShare(regressions, ShareMeasure.LATE, bounds.lateShare(), mode);
    addShare(regressions, ShareMeasure.MISSED, bounds.missedShare(), mode);
    add(regressions, MeanMeasure.AVOIDED_SERVERS.compare(samples, bounds.avoidedServersShare(), 0));
    add(regressions, MeanMeasure.MEMORY.compare(samples, 0, bounds.memoryRatio()));
    if (hasEnoughHits()) {
      add(regressions, MeanMeasure.HIT_TIME.compare(samples, 0, bounds.hitTimeRatio()));
    }
  }

  private boolean hasEnoughHits() {
    long changedHits = samples.changed().valueOf(InstanceMetric.HITS);
    long peerHits = samples.peers().valueOf(InstanceMetric.HITS);
    return Math.min(changedHits, peerHits) >= Math.max(1, plan.minResponses());
  }

  private void addShare(
      List<Regression> regressions,
      ShareMeasure measure,
      double allowedDifference,
      ComparisonMode mode) {
    add(
        regressions,
        measure.compare(samples, allowedDifference, plan.minResponses(), mode.standardErrors()));
  }

  private static void add(List<Regression> regressions, Optional<Regression> regression) {
    regression.ifPresent(regressions::add);
  }

  /** A regression that is certain counts; one that is not is watched on. */
  private static CanaryVerdict verdict(String figures, List<Regression> regressions) {
    if (regressions.isEmpty()) {
      return CanaryVerdict.passed(figures);
    }
    for (Regression regression : regressions) {
      if (regression.certain()) {
        return CanaryVerdict.regressed(figures + regression.description());
      }
    }
    return CanaryVerdict.pending(figures + regressions.get(0).description());
  }
}
