package beaconturn.core;

import beaconturn.decision.RoutingPermissions;
import beaconturn.decision.RoutingSettings;
import java.util.List;

/**
 * All settings of one router: those that the policy decides by, and the names behind their numbers,
 * which only the wire needs.
 *
 * @param routing what the policy decides by
 * @param classNames the names of the classes, in their order
 * @param zones the names of the zones, in their order
 * @param kinds the names of the kinds of cache servers, in their order
 */
public record RouterSettings(
    RoutingSettings routing, List<String> classNames, List<String> zones, List<String> kinds) {
  /**
   * Whether lists, answers and connections mean the same under both, so that one may follow the
   * other at once. Classes may differ: a request keeps the settings that it was read under.
   */
  public boolean isWireCompatibleWith(RouterSettings other) {
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
