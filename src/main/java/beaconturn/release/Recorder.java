package beaconturn.release;

import beaconturn.agreement.Call;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Draws the curve of a release while its driver drives it; one that takes over goes on with the one
 * that stands in the store.
 */
public final class Recorder {
  private final ReleaseKeys keys;
  private final long release;
  private Curve curve;
  private Map<String, Sample> then;

  /** A recorder of that release, from the curve that stands there. */
  public Recorder(ReleaseKeys keys, long release, Curve curve) {
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
  public Act due(Scene scene, Absence seen, long atMillis) {
    Map<String, Sample> now = Map.copyOf(scene.health());
    if (then == null) {
      then = now;
    }
    if (!curve.due(atMillis)) {
      return null;
    }
    Kind kind = scene.plan().kind();
    Sample all = Sample.NONE;
    for (String id : scene.fleet().group(kind).all()) {
      Sample before = then.get(id);
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
            new Curve.Point(
                atMillis,
                all.of(Figure.GOOD),
                all.of(Figure.BAD),
                all.of(Figure.LATE),
                planned.size(),
                gone));
    return new Act(
        new Call.Swap(
            List.of(scene.unchanged(keys.driver())),
            List.of(Steps.put(keys.curve(release), curve.text()))),
        "");
  }
}
