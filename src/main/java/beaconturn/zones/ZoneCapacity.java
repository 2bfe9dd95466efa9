package beaconturn.zones;

/**
 * Estimates how many requests a second zones carry, and have room for. For the planner's thread.
 */
final class ZoneCapacity {
  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;
  private final ZoneTraffic traffic;

  ZoneCapacity(ZoneTopology topology, EvidenceAggregator evidence, ZoneTraffic traffic) {
    this.topology = topology;
    this.evidence = evidence;
    this.traffic = traffic;
  }

  /** Requests a second that a zone carries with one of its cache servers gone. */
  double carriedPerSecond(String zone, long nowNanos) {
    int warm = evidence.warmServers(zone, nowNanos);
    int counted = warm > 1 ? warm - 1 : warm;
    return counted * topology.serverRequestsPerSecond();
  }

  /**
   * Requests a second that a zone has room for, beside its own and what zones other than {@code
   * home} may send there. None at a zone from which nothing was ever heard: cut off from the store,
   * it may serve as much as it can.
   */
  double roomPerSecond(PlanDraft draft, String home, String zone) {
    if (!evidence.hasHeardFrom(zone)) {
      return 0;
    }
    double taken = evidence.unheardPerSecond(zone, draft.nowNanos());
    for (String other : topology.zones()) {
      if (!other.equals(home)) {
        int alone = ZonePlan.withoutLease(topology, other).weightOf(zone);
        int planned = Math.max(draft.largestWeight(other, zone), alone);
        taken += traffic.requestsPerSecond(other) * planned / ZoneAllocation.TOTAL_WEIGHT;
        if (!other.equals(zone)) {
          double unheard = evidence.unheardPerSecond(other, draft.nowNanos());
          taken += unheard * alone / ZoneAllocation.TOTAL_WEIGHT;
        }
      }
    }
    return carriedPerSecond(zone, draft.nowNanos()) - taken;
  }
}
