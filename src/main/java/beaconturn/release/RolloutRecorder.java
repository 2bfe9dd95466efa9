package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Draws the curve of a release while its driver drives it; one that takes over goes on with the one
 * that stands in the store.
 */
public final class RolloutRecorder {
  private final RolloutKeys keys;
  private final long release;
  private RolloutTimeSeries curve;
  private Map<String, InstanceSample> then;

  /** A recorder of that release, from the curve that stands there. */
  public RolloutRecorder(RolloutKeys keys, long release, RolloutTimeSeries curve) {
    this.keys = keys;
    this.release = release;
    this.curve = curve;
  }

  /** Which release it is of. */
  public long release() {
    return release;
  }

  /**
   * The next point, or null while none is due; it holds only where the driver is still the same.
   */
  public RolloutTransaction due(RolloutSnapshot scene, Unavailability seen, long atMillis) {
    Map<String, InstanceSample> now = Map.copyOf(scene.health());
    if (then == null) {
      then = now;
    }
    if (!curve.due(atMillis)) {
      return null;
    }
    InstanceKind kind = scene.plan().kind();
    InstanceSample all = InstanceSample.NONE;
    for (String id : scene.fleet().group(kind).all()) {
      InstanceSample before = then.get(id);
      if (before != null && now.containsKey(id)) {
        all = all.plus(now.get(id).since(before));
      }
    }
    then = now;
    Set<String> planned = scene.out(kind, Map.of()).keySet();
    int gone =
        (int) seen.during(scene).keySet().stream().filter(id -> !planned.contains(id)).count();
    curve =
        curve.with(
            new RolloutTimeSeries.Point(
                atMillis,
                all.of(InstanceMetrics.GOOD),
                all.of(InstanceMetrics.BAD),
                all.of(InstanceMetrics.LATE),
                planned.size(),
                gone));
    return new RolloutTransaction(
        new StoreRequest.Transaction(
            List.of(scene.unchanged(keys.driver())),
            List.of(RolloutTransactions.put(keys.curve(release), curve.text()))),
        "");
  }
}
