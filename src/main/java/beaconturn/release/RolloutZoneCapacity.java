package beaconturn.release;

import java.util.List;
import java.util.Locale;

/**
 * Whether the instances of a zone that stay in service can carry the zone's load.
 *
 * @param zone name of the zone
 * @param instanceIds all instances of the zone
 * @param remaining instances that are left once those that are out and those that may fail are gone
 * @param required load that has to be carried
 * @param snapshot metrics of the instances
 */
record RolloutZoneCapacity(
    String zone,
    List<String> instanceIds,
    long remaining,
    ReleaseFleet.Capacity required,
    RolloutSnapshot snapshot) {
  private static final double MILLI = 1000;

  /** Above this part of a core answers wait for each other, and a burst has no room. */
  private static final double MAX_CPU_UTILIZATION = 0.8;

  /** Why the remaining instances are too few for a load, or null where they are enough. */
  String blockingReason(double load, String unit, double capacityEach) {
    if (remaining > 0 && load <= remaining * capacityEach) {
      return null;
    }
    return String.format(
        Locale.ROOT,
        "%s carries %.1f %s, and %d routers would be left with %d that fail, for %.1f each",
        zone,
        load,
        unit,
        Math.max(0, remaining),
        required.toleratedFailures(),
        capacityEach);
  }

  /**
   * Why the remaining instances are too few by the gauges reported last, or null. Where no instance
   * reports a gauge nothing is said of it.
   */
  String gaugeBlockingReason() {
    String cpu = cpuBlockingReason();
    if (cpu != null) {
      return cpu;
    }
    double maxConnections = mean(InstanceMetric.MAX_CONNECTIONS);
    if (maxConnections <= 0) {
      return null;
    }
    return blockingReason(sum(InstanceMetric.CONNECTIONS), "connections", maxConnections);
  }

  /** What operators say of the cores goes before what instances report. */
  private String cpuBlockingReason() {
    double reportedCores = mean(InstanceMetric.CPU_LIMIT_MILLICORES) / MILLI;
    double cores = required.coresPerInstance() > 0 ? required.coresPerInstance() : reportedCores;
    if (cores <= 0 || reportedCores <= 0) {
      return null;
    }
    return blockingReason(
        sum(InstanceMetric.CPU_MILLICORES) / MILLI, "cores", cores * MAX_CPU_UTILIZATION);
  }

  private double sum(InstanceMetric metric) {
    return instanceIds.stream().mapToLong(id -> snapshot.sample(id).valueOf(metric)).sum();
  }

  /** Mean over the instances that report the metric; 0 where none does. */
  private double mean(InstanceMetric metric) {
    return instanceIds.stream()
        .mapToLong(id -> snapshot.sample(id).valueOf(metric))
        .filter(value -> value > 0)
        .average()
        .orElse(0);
  }
}
