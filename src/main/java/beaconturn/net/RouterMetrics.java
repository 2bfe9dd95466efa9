package beaconturn.net;

import beaconturn.stats.Counters;
import beaconturn.stats.RequestMetrics;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * What a router counts of its own work; immutable.
 *
 * @param counters null where no admin address is set, as nobody could ask for them
 * @param health null unless an admin address is set and routers agree
 */
record RouterMetrics(Counters counters, HealthMetrics health) {
  /** The metrics that a router of this configuration needs. */
  static RouterMetrics of(
      RouterInputs inputs, LongSupplier clock, IntSupplier connections, IntSupplier most) {
    if (inputs.config().adminAddress() == null) {
      return new RouterMetrics(null, null);
    }
    if (!inputs.hasFleetConfig()) {
      return new RouterMetrics(new Counters(), null);
    }
    HealthMetrics health = new HealthMetrics(clock, connections, most);
    return new RouterMetrics(health.counters(), health);
  }

  /** Whether an admin address is set, where operators can ask for metrics. */
  boolean hasReader() {
    return counters != null;
  }

  /** Where requests are counted. */
  RequestMetrics requests() {
    return counters == null ? RequestMetrics.NONE : counters;
  }

  /** Where the routing engine counts attempts; empty where nobody asks. */
  List<RequestMetrics> attempts(ZoneWeightsSource zoneWeights) {
    List<RequestMetrics> all = new ArrayList<>();
    if (health != null) {
      all.add(health.counters());
    }
    if (zoneWeights != null) {
      all.add(zoneWeights);
    }
    return all;
  }
}
