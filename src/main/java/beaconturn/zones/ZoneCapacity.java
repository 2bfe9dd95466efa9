package beaconturn.zones;

/** Estimates the capacity and the spare capacity of zones. Confined to the planner's thread. */
final class ZoneCapacity {
  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;
  private final ZoneTraffic traffic;

  ZoneCapacity(ZoneTopology topology, EvidenceAggregator evidence, ZoneTraffic traffic) {
    this.topology = topology;
    this.evidence = evidence;
    this.traffic = traffic;
  }

  /** Returns the requests per second that a zone serves after the loss of one cache server. */
  double capacityPerSecond(String zone, long nowNanos) {
    int warm = evidence.warmServers(zone, nowNanos);
    int counted = warm > 1 ? warm - 1 : warm;
    return counted * topology.serverRequestsPerSecond();
  }

  /**
   * Returns the requests per second that a zone can take from the home zone, beside its own and
   * those that all other zones may send to it. A zone whose routers never reported has no spare
   * capacity: cut off from the store, they may serve as much as the zone can.
   */
  double sparePerSecond(PlanDraft draft, String home, String zone) {
    if (!evidence.hasKnownRate(zone)) {
      return 0;
    }
    double reservedPerSecond = evidence.silentRequestsPerSecond(zone, draft.nowNanos());
    for (String other : topology.zones()) {
      if (!other.equals(home)) {
        int weightWithoutLease = ZonePlan.withoutLease(topology, other).weightOf(zone);
        int maxWeight = Math.max(draft.maxWeight(other, zone), weightWithoutLease);
        reservedPerSecond +=
            traffic.requestsPerSecond(other) * maxWeight / ZoneAllocation.TOTAL_WEIGHT;
        if (!other.equals(zone)) {
          double silentPerSecond = evidence.silentRequestsPerSecond(other, draft.nowNanos());
          reservedPerSecond += silentPerSecond * weightWithoutLease / ZoneAllocation.TOTAL_WEIGHT;
        }
      }
    }
    return capacityPerSecond(zone, draft.nowNanos()) - reservedPerSecond;
  }
}
