package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the time series of a release while its driver drives it. A driver that takes over goes on
 * with the series that the store holds. Confined to the thread of its driver.
 */
public final class RolloutRecorder {
  private final RolloutKeys keys;
  private final long releaseNumber;
  private RolloutTimeSeries series;

  /** Metrics of the last point; null before the first. */
  private Map<String, InstanceSample> lastSamples;

  /** A recorder of that release that goes on with a series. */
  public RolloutRecorder(RolloutKeys keys, long releaseNumber, RolloutTimeSeries series) {
    this.keys = keys;
    this.releaseNumber = releaseNumber;
    this.series = series;
  }

  /** Number of the release that it records. */
  public long releaseNumber() {
    return releaseNumber;
  }

  /**
   * The transaction that stores the next point, or null while none is due; it holds only while the
   * driver is the same.
   *
   * @param atMillis wall clock time in milliseconds
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
