package beaconturn.zones;

import beaconturn.agreement.AgreementTiming;
import java.util.Map;
import java.util.TreeMap;

/** The same troubles in the model as in a play of processes. */
public final class SimulatedFailover {
  private static final long SECOND = 1_000_000_000;
  private static final long STEP = SECOND / 20;
  private static final long LOST = 5 * SECOND;

  private SimulatedFailover() {}

  /**
   * How long after a place of several loses its cache servers its keys go elsewhere, in
   * nanoseconds.
   *
   * @param perSecond requests that each router takes
   */
  public static long failoverDelayNanos(
      AgreementTiming timing, int places, int routers, double perSecond) {
    Map<String, String> regions = new TreeMap<>();
    for (int i = 0; i < places; i++) {
      regions.put("p" + i, "");
    }
    SimulatedZones world = new SimulatedZones(1, regions, routers, perSecond, 1000, timing);
    world.byChance = true;
    world.run(LOST);
    world.simulatedZones.get("p0").bad = true;
    while (world.plan().number() == 0) {
      world.run(STEP);
    }
    return world.scheduler.now() - LOST;
  }
}
