package beaconturn.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Compares the metrics of a changed instance with those of its peers over the same time. */
final class CanaryComparison {
  private final RolloutPlan plan;
  private final ComparedSamples samples;

  /**
   * Creates a comparison.
   *
   * @param peers sums over all peers
   */
  CanaryComparison(RolloutPlan plan, InstanceSample changed, InstanceSample peers, int peerCount) {
    this.plan = plan;
    this.samples = new ComparedSamples(changed, peers, peerCount);
  }

  /** Creates a comparison of what was counted since a baseline. */
  static CanaryComparison since(
      Map<String, InstanceSample> baseline, RolloutSnapshot snapshot, String instanceId) {
    List<String> peerIds = peersOf(snapshot, instanceId);
    InstanceSample peers = InstanceSample.NONE;
    for (String peer : peerIds) {
      // A peer without a baseline is left out: the period that it counted over is unknown.
      if (baseline.containsKey(peer)) {
        peers = peers.plus(countedSince(baseline, snapshot, peer));
      }
    }
    InstanceSample changed = countedSince(baseline, snapshot, instanceId);
    return new CanaryComparison(snapshot.plan(), changed, peers, peerIds.size());
  }

  /** Returns the instances of the released kind that have reported metrics. */
  static Set<String> reportingInstances(RolloutSnapshot snapshot) {
    Set<String> reporting = new TreeSet<>(snapshot.samples().keySet());
    reporting.retainAll(snapshot.fleet().group(snapshot.plan().kind()).instanceIds());
    return reporting;
  }

  /** Returns the unchanged instances; the verified ones if all have been changed. */
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

  /** Returns the failed share of the changed instance's responses. */
  double changedFailedShare() {
    return samples.changed().failedShare();
  }

  /**
   * Returns the verdict.
   *
   * @param soaked whether the soak is over, so that all measures are compared; otherwise only
   *     failed responses are
   */
  CanaryVerdict verdict(boolean soaked, ComparisonMode mode) {
    String figures = figures();
    if (hasFewResponses()) {
      return CanaryVerdict.pending(figures);
    }
    List<Regression> regressions = new ArrayList<>();
    addShare(regressions, ShareMeasure.FAILED, plan.regressionBounds().failedShare(), mode);
    if (soaked && samples.hasPeers()) {
      if (mode.requiresReadings() && samples.hasFewReadings()) {
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
   * Returns whether there are too few responses to compare. Peers without enough responses leave
   * the verdict open; an instance without peers is compared with the bounds of the plan alone.
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

  /** Fails on a significant regression; a regression that may be chance leaves the verdict open. */
  private static CanaryVerdict verdict(String figures, List<Regression> regressions) {
    if (regressions.isEmpty()) {
      return CanaryVerdict.passed(figures);
    }
    for (Regression regression : regressions) {
      if (regression.significant()) {
        return CanaryVerdict.regressed(figures + regression.description());
      }
    }
    return CanaryVerdict.pending(figures + regressions.get(0).description());
  }
}
