package beaconturn.zones;

import beaconturn.agreement.AgreementTiming;
import java.util.Map;
import java.util.TreeMap;

/** Runs a failover in the simulation, for comparison with a rehearsal of processes. */
public final class SimulatedFailover {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long STEP_NANOS = SECOND_NANOS / 20;
  private static final long ZONE_LOST_AT_NANOS = 5 * SECOND_NANOS;

  private SimulatedFailover() {}

  /**
   * Returns the nanoseconds from the loss of all cache servers of a zone to the first plan.
   *
   * @param routers number of routers in each zone
   * @param requestsPerSecond requests per second that each router receives
   */
  public static long failoverDelayNanos(
      AgreementTiming timing, int zoneCount, int routers, double requestsPerSecond) {
    Map<String, String> regions = new TreeMap<>();
    for (int i = 0; i < zoneCount; i++) {
      regions.put("p" + i, "");
    }
    SimulatedZones simulation =
        new SimulatedZones(1, regions, routers, requestsPerSecond, 1000, timing);
    simulation.poissonArrivals = true;
    simulation.run(ZONE_LOST_AT_NANOS);
    simulation.zones.get("p0").unavailable = true;
    while (simulation.plan().number() == 0) {
      simulation.run(STEP_NANOS);
    }
    return simulation.scheduler.now() - ZONE_LOST_AT_NANOS;
  }
}
