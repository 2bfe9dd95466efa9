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
 * @param groups instances by kind; kinds that are not contained cannot be released
 */
public record ReleaseFleet(Map<InstanceKind, Group> groups) {
  /** A fleet without instances. */
  public static final ReleaseFleet EMPTY = new ReleaseFleet(Map.of());

  /** Makes an immutable copy of the groups. */
  public ReleaseFleet {
    groups = groups.isEmpty() ? Map.of() : Collections.unmodifiableMap(new EnumMap<>(groups));
  }

  /**
   * The capacity of an instance, by which the load of a zone is checked before instances are taken
   * out of service.
   *
   * @param responsesPerSecondPerInstance maximum responses per second of one instance; 0 if unknown
   * @param coresPerInstance CPU cores that one instance may use; 0 to use the limit that instances
   *     report
   * @param toleratedFailures instances of a zone that may fail in addition to those out of service;
   *     negative to disable the load check
   */
  public record Capacity(
      double responsesPerSecondPerInstance, double coresPerInstance, int toleratedFailures) {
    /** Disables the load check. */
    public static final Capacity UNCHECKED = new Capacity(0, 0, -1);
  }

  /**
   * The instances of one kind.
   *
   * @param maxUnavailable maximum number of unavailable instances in all zones
   * @param maxUnavailablePerZone maximum number of unavailable instances in one zone
   * @param instancesByZone names of instances by zone
   * @param capacity capacity of an instance, for the load check
   */
  public record Group(
      int maxUnavailable,
      int maxUnavailablePerZone,
      SortedMap<String, List<String>> instancesByZone,
      Capacity capacity) {
    /** Makes an immutable copy of the map. */
    public Group {
      instancesByZone = Collections.unmodifiableSortedMap(new TreeMap<>(instancesByZone));
    }

    /** Creates a group without a load check. */
    public Group(
        int maxUnavailable,
        int maxUnavailablePerZone,
        SortedMap<String, List<String>> instancesByZone) {
      this(maxUnavailable, maxUnavailablePerZone, instancesByZone, Capacity.UNCHECKED);
    }

    /** Returns the zone of an instance; null if the group does not contain it. */
    public String zoneOf(String instanceId) {
      for (Map.Entry<String, List<String>> zone : instancesByZone.entrySet()) {
        if (zone.getValue().contains(instanceId)) {
          return zone.getKey();
        }
      }
      return null;
    }

    /** Returns all instances, ordered by zone. */
    public List<String> instanceIds() {
      return instancesByZone.values().stream().flatMap(List::stream).toList();
    }
  }

  /** Returns the instances of a kind; an empty group if the fleet has none. */
  public Group group(InstanceKind kind) {
    return groups.getOrDefault(kind, new Group(0, 0, new TreeMap<>()));
  }
}
