package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the time series of a release during the rollout. A driver that takes over continues the
 * stored series. Confined to the thread of its driver.
 */
public final class RolloutRecorder {
  private final RolloutKeys keys;
  private final long releaseNumber;
  private RolloutTimeSeries series;

  /** Metrics by instance at the last point; null before the first snapshot. */
  private Map<String, InstanceSample> lastSamples;

  /**
   * Creates a recorder.
   *
   * @param series series to continue
   */
  public RolloutRecorder(RolloutKeys keys, long releaseNumber, RolloutTimeSeries series) {
    this.keys = keys;
    this.releaseNumber = releaseNumber;
    this.series = series;
  }

  public long releaseNumber() {
    return releaseNumber;
  }

  /**
   * Returns the transaction that stores the next point, on condition that the driver is unchanged;
   * null if no point is due.
   *
   * @param observed instances that are out of service without a permit
   * @param atMillis wall clock time
   */
  public RolloutTransaction nextTransaction(
      RolloutSnapshot snapshot, Unavailability observed, long atMillis) {
    Map<String, InstanceSample> samples = Map.copyOf(snapshot.samples());
    if (lastSamples == null) {
      lastSamples = samples;
    }
    if (!series.isDue(atMillis)) {
      return null;
    }
    series = series.append(point(snapshot, samples, observed, atMillis));
    lastSamples = samples;
    return new RolloutTransaction(
        new StoreRequest.Transaction(
            List.of(snapshot.unchanged(keys.driver())),
            List.of(
                RolloutTransactions.put(
                    keys.timeSeries(releaseNumber), RolloutTimeSeriesCodec.encode(series)))),
        "");
  }

  private RolloutTimeSeries.Point point(
      RolloutSnapshot snapshot,
      Map<String, InstanceSample> samples,
      Unavailability observed,
      long atMillis) {
    InstanceKind kind = snapshot.plan().kind();
    InstanceSample total = InstanceSample.NONE;
    for (String instanceId : snapshot.fleet().group(kind).instanceIds()) {
      InstanceSample before = lastSamples.get(instanceId);
      if (before != null && samples.containsKey(instanceId)) {
        total = total.plus(samples.get(instanceId).since(before));
      }
    }
    Set<String> planned = snapshot.unavailable(kind, Map.of()).keySet();
    long unplanned =
        observed.duringRollout(snapshot).keySet().stream()
            .filter(instanceId -> !planned.contains(instanceId))
            .count();
    return new RolloutTimeSeries.Point(
        atMillis,
        total.valueOf(InstanceMetric.SERVED),
        total.valueOf(InstanceMetric.FAILED),
        total.valueOf(InstanceMetric.LATE),
        planned.size(),
        (int) unplanned);
  }
}
