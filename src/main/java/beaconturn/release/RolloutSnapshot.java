package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that stands in the store of a release, as of one revision.
 *
 * @param cluster which store it is
 * @param fleet who belongs to it
 * @param plan the release at hand, or the last one; null where there never was one
 * @param course what it is at
 * @param steps by part
 * @param settings that go with it, or null while none do
 * @param permits by number
 * @param driver the incarnation that drives it, or empty
 * @param agents the incarnation that acts on each part
 * @param counter the number of the last permit
 * @param stories how many lines the history has
 * @param health what parts have answered
 * @param changed when each key was last changed
 */
public record RolloutSnapshot(
    String cluster,
    ReleaseFleet fleet,
    RolloutPlan plan,
    RolloutState course,
    SortedMap<String, RolloutStep> steps,
    ConfigChange settings,
    SortedMap<Long, DisruptionPermit> permits,
    String driver,
    SortedMap<String, String> agents,
    long counter,
    long stories,
    SortedMap<String, InstanceSample> health,
    Map<String, Long> changed) {
  static final String REPLACED =
      "the store was restored or replaced since the release began: what it says"
          + " of parts may be old; abandon the release, see who runs what, and begin another";

  /** Reads what a call for all keys of a release was given. */
  public static RolloutSnapshot of(RolloutKeys keys, StoreResponse.Success given)
      throws AgreementException {
    Map<String, String> values = new HashMap<>();
    Map<String, Long> changed = new HashMap<>();
    SortedMap<String, RolloutStep> steps = new TreeMap<>();
    SortedMap<Long, DisruptionPermit> permits = new TreeMap<>();
    SortedMap<String, InstanceSample> health = new TreeMap<>();
    SortedMap<String, String> agents = new TreeMap<>();
    try {
      for (StoreResponse.Entry pair : given.entries()) {
        String key = pair.key();
        values.put(key, pair.value());
        changed.put(key, pair.modRevision());
        if (key.startsWith(keys.steps())) {
          RolloutStep step = RolloutCodec.step(pair.value());
          steps.put(step.id(), step);
        } else if (key.startsWith(keys.permits())) {
          DisruptionPermit permit = RolloutCodec.permit(pair.value());
          permits.put(permit.number(), permit);
        } else if (key.startsWith(keys.agents())) {
          agents.put(key.substring(keys.agents().length()), pair.value());
        } else if (key.startsWith(keys.healths())) {
          health.put(key.substring(keys.healths().length()), RolloutCodec.sample(pair.value()));
        }
      }
      String fleet = values.get(keys.parts());
      String plan = values.get(keys.plan());
      String course = values.get(keys.course());
      String settings = values.get(keys.settings());
      return new RolloutSnapshot(
          given.clusterId(),
          fleet == null ? ReleaseFleet.NONE : RolloutCodec.fleet(fleet),
          plan == null ? null : RolloutCodec.plan(plan),
          course == null ? RolloutState.NONE : RolloutCodec.course(course),
          steps,
          settings == null ? null : RolloutCodec.changeover(settings),
          permits,
          values.getOrDefault(keys.driver(), ""),
          agents,
          Long.parseLong(values.getOrDefault(keys.counter(), "0")),
          Long.parseLong(values.getOrDefault(keys.told(), "0")),
          health,
          changed);
    } catch (IllegalArgumentException e) {
      throw new AgreementException("what stands of a release cannot be read: " + e.getMessage());
    }
  }

  /** Whether the release was begun in another store: its steps there are not known here. */
  boolean replaced() {
    return plan != null && !course.over() && !plan.cluster().equals(cluster);
  }

  /** The condition that the key is as it was read here. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, changed.getOrDefault(key, 0L));
  }

  /**
   * Who is out, and why, one line for each part: whoever holds a permit, and whoever is seen to be
   * gone.
   *
   * @param gone parts of that kind that are out though nobody planned it, by what is seen of them
   */
  public SortedMap<String, String> out(InstanceKind kind, Map<String, String> gone) {
    SortedMap<String, String> out = new TreeMap<>(gone);
    permits.values().stream()
        .filter(p -> p.kind() == kind)
        .forEach(
            p -> out.put(p.id(), "permit " + p.number() + " of " + p.holder() + ": " + p.reason()));
    return out;
  }

  /**
   * Why no place is free for the part, which is whom it waits for; null where it may go out. A part
   * that is out already takes no further place.
   */
  public String full(InstanceKind kind, String id, Map<String, String> gone) {
    ReleaseFleet.Group group = fleet.group(kind);
    String site = group.siteOf(id);
    if (site == null) {
      return "there is no " + kind.word() + " '" + id + "' in the fleet";
    }
    SortedMap<String, String> out = out(kind, gone);
    out.remove(id);
    List<String> near = out.keySet().stream().filter(o -> site.equals(group.siteOf(o))).toList();
    if (near.size() >= group.mostOutOfSite()) {
      return waits(near, out, group.mostOutOfSite() + " of " + site);
    }
    return out.size() >= group.mostOut()
        ? waits(out.keySet(), out, group.mostOut() + " in all")
        : null;
  }

  /** The same, and why none may begin there while another site is out as a whole. */
  String full(InstanceKind kind, String id, Unavailability seen, Map<String, String> gone) {
    String full = full(kind, id, gone);
    return full == null ? seen.elsewhere(fleet.group(kind).siteOf(id)) : full;
  }

  private static String waits(Collection<String> whom, Map<String, String> out, String most) {
    List<String> words = new ArrayList<>();
    whom.forEach(id -> words.add(id + " (" + out.get(id) + ")"));
    return "at most " + most + " may be out, it waits for " + String.join(", ", words);
  }
}
