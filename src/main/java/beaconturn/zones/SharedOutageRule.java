package beaconturn.zones;

import java.util.List;

/**
 * Detects outages that most zones share. They have a common cause, for example a slow origin, so
 * that moving keys between zones would not help. Confined to the planner's thread.
 */
final class SharedOutageRule {
  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;

  /**
   * Time for which moves stay blocked after a shared outage. The evidence of the zones differs in
   * age, so that their recoveries are not seen at the same time.
   */
  private final long settlingNanos;

  private boolean shared;
  private long blockedUntilNanos = Long.MIN_VALUE;

  SharedOutageRule(
      ZoneTopology topology, EvidenceAggregator evidence, long windowNanos, long confirmNanos) {
    this.topology = topology;
    this.evidence = evidence;
    this.settlingNanos = 2 * windowNanos + confirmNanos;
  }

  /** Returns whether all keys have to stay where they are. */
  boolean blocksMoves(ZonePlan plan, long nowNanos) {
    shared = areMostUnhealthy(plan);
    if (shared) {
      blockedUntilNanos = nowNanos + settlingNanos;
    }
    return nowNanos < blockedUntilNanos;
  }

  /** Returns whether the last check found a shared outage. */
  boolean isShared() {
    return shared;
  }

  /**
   * Returns whether at least two, and more than half, of the zones that serve their own keys are
   * unhealthy. Zones of unknown health are not counted.
   */
  private boolean areMostUnhealthy(ZonePlan plan) {
    List<ZoneHealth> servedAtHome =
        topology.zones().stream()
            .filter(zone -> !ZoneState.isServedElsewhere(plan.states().get(zone)))
            .map(evidence::healthOf)
            .filter(health -> health != ZoneHealth.UNKNOWN)
            .toList();
    long unhealthy = servedAtHome.stream().filter(health -> health == ZoneHealth.BROKEN).count();
    return unhealthy > 1 && 2 * unhealthy > servedAtHome.size();
  }
}
