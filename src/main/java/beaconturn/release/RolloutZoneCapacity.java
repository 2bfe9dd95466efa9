package beaconturn.release;

import java.util.List;
import java.util.Locale;

/**
 * Decides whether the instances of a zone that remain in service can carry the load of the zone.
 *
 * @param zone name of the zone
 * @param instanceIds all instances of the zone
 * @param remaining number of instances in service after the tolerated failures; may be negative
 * @param required capacity of an instance and tolerated failures
 * @param snapshot metrics of the instances
 */
record RolloutZoneCapacity(
    String zone,
    List<String> instanceIds,
    long remaining,
    ReleaseFleet.Capacity required,
    RolloutSnapshot snapshot) {
  private static final double MILLICORES_PER_CORE = 1000;

  /** Maximum CPU utilization: beyond this, queueing delays grow and bursts cannot be absorbed. */
  private static final double MAX_CPU_UTILIZATION = 0.8;

  /** Returns why the remaining instances are too few for a load; null if they are enough. */
  String blockingReason(double load, String unit, double capacityEach) {
    if (remaining > 0 && load <= remaining * capacityEach) {
      return null;
    }
    return String.format(
        Locale.ROOT,
        "%s carries %.1f %s; %d routers would be left with %d failed, with a capacity of %.1f each",
        zone,
        load,
        unit,
        Math.max(0, remaining),
        required.toleratedFailures(),
        capacityEach);
  }

  /**
   * Returns why the remaining instances are too few by the gauges last reported; null if they are
   * enough. A gauge that no instance reports is not checked.
   */
  String gaugeBlockingReason() {
    String cpuReason = cpuBlockingReason();
    if (cpuReason != null) {
      return cpuReason;
    }
    double maxConnections = mean(InstanceMetric.MAX_CONNECTIONS);
    if (maxConnections <= 0) {
      return null;
    }
    return blockingReason(sum(InstanceMetric.CONNECTIONS), "connections", maxConnections);
  }

  /** The cores in the fleet definition take precedence over the reported limit. */
  private String cpuBlockingReason() {
    double reportedCores = mean(InstanceMetric.CPU_LIMIT_MILLICORES) / MILLICORES_PER_CORE;
    double cores = required.coresPerInstance() > 0 ? required.coresPerInstance() : reportedCores;
    if (cores <= 0 || reportedCores <= 0) {
      return null;
    }
    return blockingReason(
        sum(InstanceMetric.CPU_MILLICORES) / MILLICORES_PER_CORE,
        "cores",
        cores * MAX_CPU_UTILIZATION);
  }

  private double sum(InstanceMetric metric) {
    return instanceIds.stream().mapToLong(id -> snapshot.sample(id).valueOf(metric)).sum();
  }

  /** Returns the mean over the instances that report the metric; 0 if none does. */
  private double mean(InstanceMetric metric) {
    return instanceIds.stream()
        .mapToLong(id -> snapshot.sample(id).valueOf(metric))
        .filter(value -> value > 0)
        .average()
        .orElse(0);
  }
}
