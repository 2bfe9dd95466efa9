package beaconturn.decision;

import java.util.List;

/**
 * All settings of a routing policy.
 *
 * @param routerIndex which of the routers this one is, from 0; no rule uses it
 * @param routerCount how many routers serve the same caches
 * @param zone the router's own zone
 * @param pollsDiscovery whether the policy itself subscribes to the endpoint list
 * @param stableRatings whether ratings in the list compare sizes and do not follow load; only then
 *     are they used
 * @param priorityByWork whether requests count by their work; no rule uses it
 * @param overQuotaPriorityWeight factor on the priority of requests beyond their tenant's quota
 * @param tickNanos how far apart the host handles events; no rule uses it
 * @param loadReportFields the fields of load reports, in their order
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
  /** The deadline of the class that has the longest, in nanoseconds; 0 without classes. */
  public long longestDeadlineNanos() {
    return classes.stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
  }
}
