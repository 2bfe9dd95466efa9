package beaconturn.net;

import beaconturn.core.Lifecycle;

/**
 * The inputs that a router is built from.
 *
 * @param config the initial configuration
 * @param source source of the configuration for reloads
 * @param lifecycle the phases of the process
 * @param customization components that tests replace
 * @param fleetConfig the configuration that routers agree on; null if they do not
 * @param zoneWeights the zone weights that routers agree on; null if they do not
 */
record RouterInputs(
    RouterConfig config,
    RouterConfig.Source source,
    Lifecycle lifecycle,
    RouterCustomization customization,
    FleetConfigSource fleetConfig,
    ZoneWeightsSource zoneWeights) {
  /** Whether routers agree on their configuration. */
  boolean hasFleetConfig() {
    return fleetConfig != null;
  }
}
