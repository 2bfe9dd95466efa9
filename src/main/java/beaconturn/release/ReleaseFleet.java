package beaconturn.release;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The instances of a fleet and its disruption budget.
 *
 * @param groups instances by kind; a kind that is not contained cannot be released
 */
public record ReleaseFleet(Map<InstanceKind, Group> groups) {
  /** A fleet without instances. */
  public static final ReleaseFleet EMPTY = new ReleaseFleet(Map.of());

  /** Copies the groups. */
  public ReleaseFleet {
    groups = groups.isEmpty() ? Map.of() : Collections.unmodifiableMap(new EnumMap<>(groups));
  }

  /**
   * The load that the instances of a zone must be able to carry while some are out.
   *
   * @param responsesPerSecondPerInstance answers a second that one instance can give; 0 where that is not
   *     said
   * @param coresPerInstance cores that one instance may use; 0 for as many as it reports itself
   * @param toleratedFailures instances that may fail beside those that are out; below 0 the load is
   *     not checked
   */
  public record Capacity(double responsesPerSecondPerInstance, double coresPerInstance, int toleratedFailures) {
    /** The load is not checked. */
    public static final Capacity UNCHECKED = new Capacity(0, 0, -1);
  }

  /**
   * The instances of one kind.
   *
   * @param maxUnavailable instances that may be out at once in all zones
   * @param maxUnavailablePerZone instances that may be out at once in one zone
   * @param instancesByZone names of instances by zone
   * @param capacity load that a zone must be able to carry without those that are out
   */
  public record Group(
      int maxUnavailable,
      int maxUnavailablePerZone,
      SortedMap<String, List<String>> instancesByZone,
      Capacity capacity) {
    /** Copies the instances. */
    public Group {
      instancesByZone = Collections.unmodifiableSortedMap(new TreeMap<>(instancesByZone));
    }

    /** A group whose load is not checked. */
    public Group(
        int maxUnavailable,
        int maxUnavailablePerZone,
        SortedMap<String, List<String>> instancesByZone) {
      this(maxUnavailable, maxUnavailablePerZone, instancesByZone, Capacity.UNCHECKED);
    }

    /** The zone of an instance, or null where the group does not contain it. */
    public String zoneOf(String instanceId) {
      for (Map.Entry<String, List<String>> zone : instancesByZone.entrySet()) {
        if (zone.getValue().contains(instanceId)) {
          return zone.getKey();
        }
      }
      return null;
    }

    /** All instances, zone by zone. */
    public List<String> instanceIds() {
      return instancesByZone.values().stream().flatMap(List::stream).toList();
    }
  }

  /** The instances of a kind; an empty group where the fleet has none. */
  public Group group(InstanceKind kind) {
    return groups.getOrDefault(kind, new Group(0, 0, new TreeMap<>()));
  }
}
