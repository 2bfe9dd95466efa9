package beaconturn.decision;

import java.util.List;

/** All settings; {@code ratingStable} says that ratings compare sizes and do not follow load. */
public record RoutingSettings(
    int routerIndex,
    int routerCount,
    int zone,
    boolean pollsDiscovery,
    boolean stableRatings,
    boolean priorityByWork,
    double overQuotaPriorityWeight,
    long tickNanos,
    List<RequestClass> classes,
    List<Tenant> tenants,
    SafetyLimits safetyLimits,
    RoutingPermissions permissions,
    OriginSettings origin,
    List<String> loadReportFields) {
  /** The deadline of the class that has the longest, in nanoseconds; 0 without classes. */
  public long longestDeadlineNanos() {
    return classes.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
  }
}
