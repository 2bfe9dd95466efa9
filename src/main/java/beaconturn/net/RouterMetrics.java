package beaconturn.net;

import beaconturn.stats.Counters;
import beaconturn.stats.RequestMetrics;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The metrics of a router. Immutable.
 *
 * @param counters null if no admin address is configured, as they could not be read
 * @param health null unless an admin address is configured and routers agree
 */
record RouterMetrics(Counters counters, HealthMetrics health) {
  /** Creates the metrics that a router with these inputs needs. */
  static RouterMetrics of(
      RouterInputs inputs,
      LongSupplier clock,
      IntSupplier connections,
      IntSupplier maxConnections) {
    if (inputs.config().adminAddress() == null) {
      return new RouterMetrics(null, null);
    }
    if (!inputs.hasFleetConfig()) {
      return new RouterMetrics(new Counters(), null);
    }
    HealthMetrics health = new HealthMetrics(clock, connections, maxConnections);
    return new RouterMetrics(health.counters(), health);
  }

  /** Whether an admin address is configured, through which metrics can be read. */
  boolean isEnabled() {
    return counters != null;
  }

  /** Counts requests. */
  RequestMetrics requests() {
    return counters == null ? RequestMetrics.NONE : counters;
  }

  /** The metrics that the routing engine counts attempts in; empty if none can be read. */
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
