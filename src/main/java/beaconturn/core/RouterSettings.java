package beaconturn.core;

import beaconturn.decision.RoutingPermissions;
import beaconturn.decision.RoutingSettings;
import java.util.List;

/**
 * All settings of one router: those that the module decides by, and what only the wire needs,
 * namely the names behind the numbers.
 */
public record RouterSettings(
    RoutingSettings routing, List<String> classNames, List<String> zones, List<String> kinds) {
  /**
   * Whether lists, answers and connections mean the same under both, so that one may follow the
   * other at once. Classes may differ: a request keeps the settings that it was read under.
   */
  public boolean sameWire(RouterSettings other) {
    RoutingPermissions may = routing.permissions();
    RoutingPermissions others = other.routing.permissions();
    return zones.equals(other.zones)
        && kinds.equals(other.kinds)
        && may.connectionIdleNanos() == others.connectionIdleNanos()
        && routing.tenants().equals(other.routing.tenants())
        && routing.loadReportFields().equals(other.routing.loadReportFields())
        && may.connectTimeoutNanos() == others.connectTimeoutNanos();
  }
}
