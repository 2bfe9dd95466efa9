package beaconturn.net;

import beaconturn.core.Lifecycle;

/**
 * What a router is built from.
 *
 * @param config the configuration to start with
 * @param source where a reload reads the configuration anew
 * @param lifecycle the phases of the process
 * @param customization parts that tests replace
 * @param fleetConfig the configuration that routers agree on; null where they do not
 * @param zoneWeights the zone weights that routers agree on; null where they do not
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
