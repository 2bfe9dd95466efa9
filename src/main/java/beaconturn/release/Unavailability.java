package beaconturn.release;

import beaconturn.agreement.EndpointView;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Who is out though no permit says so, from what is seen of the fleet. What nobody vouches for
 * counts as out: a budget that took silence for health would take the last healthy part out.
 *
 * @param out the parts that are out, and why
 * @param latest the latest start of a cache server that any router knows of
 * @param atMost the latest start that more than half of the routers know of, of those in service
 * @param sites sites whose traffic is served elsewhere, and why
 */
public record Unavailability(
    SortedMap<String, String> out,
    SortedMap<String, Long> latest,
    SortedMap<String, Long> atMost,
    SortedMap<String, String> sites) {
  /** How a router's word begins for one that it has ejected. */
  static final String EJECTED = "ejected";

  /** A sight of its own. */
  public Unavailability {
    out = Collections.unmodifiableSortedMap(new TreeMap<>(out));
    latest = Collections.unmodifiableSortedMap(new TreeMap<>(latest));
    atMost = Collections.unmodifiableSortedMap(new TreeMap<>(atMost));
    sites = Collections.unmodifiableSortedMap(new TreeMap<>(sites));
  }

  /** The same where the traffic of these sites is served elsewhere. */
  public Unavailability whileOut(Map<String, String> whole) {
    return new Unavailability(out, latest, atMost, new TreeMap<>(whole));
  }

  /**
   * Why no step may begin at a site though a place is free, or null: another site is out as a
   * whole, and those that stand in for it are needed. At the site that is out itself steps harm
   * nobody.
   */
  String elsewhere(String site) {
    return sites.keySet().stream()
        .filter(s -> !s.equals(site))
        .findFirst()
        .map(s -> "site " + s + " is out: " + sites.get(s))
        .orElse(null);
  }

  /** These are out, and no start is known. */
  static Unavailability of(Map<String, String> out) {
    return new Unavailability(
        new TreeMap<>(out), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
  }

  /**
   * Routers of the fleet that hold no lease: those that ended, hang, or are cut off from the store.
   */
  public static Unavailability ofRouters(ReleaseFleet.Group group, Set<String> alive) {
    SortedMap<String, String> out = new TreeMap<>();
    group.all().stream()
        .filter(id -> !alive.contains(id))
        .forEach(id -> out.put(id, "holds no lease"));
    return of(out);
  }

  /**
   * Cache servers that are not in service at more than half of the routers that tell what they see:
   * held out by a version, listed as draining or not at all, ejected, or still warming up.
   *
   * @param heldOut by the version in force, with its number in words
   */
  public static Unavailability ofCaches(
      ReleaseFleet.Group group, Map<String, String> heldOut, Collection<EndpointView> sights) {
    SortedMap<String, String> out = new TreeMap<>();
    SortedMap<String, Long> latest = new TreeMap<>();
    SortedMap<String, Long> atMost = new TreeMap<>();
    for (String id : group.all()) {
      List<Long> starts =
          sights.stream()
              .filter(s -> s.usable().containsKey(id))
              .map(s -> s.usable().get(id))
              .sorted(Comparator.reverseOrder())
              .toList();
      if (!starts.isEmpty()) {
        latest.put(id, starts.get(0));
      }
      if (2 * starts.size() > sights.size()) {
        atMost.put(id, starts.get(sights.size() / 2));
      }
      if (heldOut.containsKey(id)) {
        out.put(id, heldOut.get(id));
      } else if (sights.isEmpty()) {
        out.put(id, "no router tells what it sees");
      } else if (!atMost.containsKey(id)) {
        out.put(
            id,
            why(id, sights)
                + " at "
                + (sights.size() - starts.size())
                + " of "
                + sights.size()
                + " routers");
      }
    }
    return new Unavailability(out, latest, atMost, new TreeMap<>());
  }

  /**
   * What most of those say that do not use it; the first in the alphabet where as many say another.
   */
  private static String why(String id, Collection<EndpointView> sights) {
    SortedMap<String, Integer> counts = new TreeMap<>();
    sights.stream()
        .filter(s -> !s.usable().containsKey(id))
        .forEach(s -> counts.merge(s.unusable().getOrDefault(id, "not listed"), 1, Integer::sum));
    String most = counts.firstKey();
    for (Map.Entry<String, Integer> e : counts.entrySet()) {
      most = e.getValue() > counts.get(most) ? e.getKey() : most;
    }
    return most;
  }

  /**
   * The same for a release: a cache server that was acted on is out until it is seen with another
   * start, as what routers tell may still be of the process before.
   */
  SortedMap<String, String> during(RolloutSnapshot scene) {
    if (scene.plan().kind() == InstanceKind.ROUTER) {
      return out;
    }
    SortedMap<String, String> all = new TreeMap<>(out);
    for (RolloutStep step : scene.steps().values()) {
      if (step.phase() == RolloutStep.Phase.UP
          && atMost.getOrDefault(step.id(), -1L) <= step.started()) {
        all.putIfAbsent(step.id(), "not seen since it was restarted");
      }
    }
    return all;
  }
}
