package beaconturn.zones;

import java.util.List;

/**
 * Decides whether most zones are bad at once: that has a cause which they share, and moving keys
 * helps nobody. For the planner's thread.
 */
final class SharedOutageRule {
  private final ZoneTopology topology;
  private final EvidenceAggregator evidence;

  /**
   * For so long after the end of a shared outage nothing is moved: evidence of some zones is older
   * than of others, so that the end does not show of all at once.
   */
  private final long aftermathNanos;

  private boolean shared;
  private long untilNanos = Long.MIN_VALUE;

  SharedOutageRule(
      ZoneTopology topology, EvidenceAggregator evidence, long windowNanos, long confirmNanos) {
    this.topology = topology;
    this.evidence = evidence;
    this.aftermathNanos = 2 * windowNanos + confirmNanos;
  }

  /** Whether keys have to stay where they are. */
  boolean forbidsMoves(ZonePlan plan, long nowNanos) {
    shared = areMostBad(plan);
    if (shared) {
      untilNanos = nowNanos + aftermathNanos;
    }
    return nowNanos < untilNanos;
  }

  /** Whether the outage was shared when it was last looked at. */
  boolean isShared() {
    return shared;
  }

  /** Whether more than half of the zones that are served near, and two at least, are bad. */
  private boolean areMostBad(ZonePlan plan) {
    List<ZoneHealth> servedNear =
        topology.zones().stream()
            .filter(zone -> !ZoneState.isAway(plan.states().get(zone)))
            .map(evidence::healthOf)
            .filter(health -> health != ZoneHealth.UNKNOWN)
            .toList();
    long bad = servedNear.stream().filter(health -> health == ZoneHealth.BROKEN).count();
    return bad > 1 && 2 * bad > servedNear.size();
  }
}
