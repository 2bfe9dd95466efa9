package beaconturn.decision;

import java.util.List;

/**
 * Settings of a routing policy.
 *
 * @param routerIndex index of this router, from 0; currently unused
 * @param routerCount number of routers that share the caches
 * @param zone the router's own zone
 * @param pollsDiscovery whether the policy itself subscribes to the endpoint list
 * @param stableRatings whether ratings in the endpoint list describe sizes rather than current
 *     load; ratings are only used if so
 * @param priorityByWork whether requests are weighted by their work; currently unused
 * @param overQuotaPriorityWeight factor on the priority of requests over quota
 * @param tickNanos interval at which the host handles events; currently unused
 * @param loadReportFields names of the load report fields, in order
 */
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
  /** Returns the longest deadline of all classes, in nanoseconds; 0 without classes. */
  public long longestDeadlineNanos() {
    return classes.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
  }
}
