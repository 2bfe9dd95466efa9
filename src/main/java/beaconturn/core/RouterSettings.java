package beaconturn.core;

import beaconturn.decision.RoutingPermissions;
import beaconturn.decision.RoutingSettings;
import java.util.List;

/**
 * The settings of one router: those of the routing policy, and the names that protocols use for the
 * policy's indexes.
 *
 * @param routing the settings of the routing policy
 * @param classNames the names of the request classes, by index
 * @param zones the names of the zones, by index
 * @param kinds the names of the kinds of cache servers, by index
 */
public record RouterSettings(
    RoutingSettings routing, List<String> classNames, List<String> zones, List<String> kinds) {
  /**
   * Whether endpoint lists, responses and connections have the same meaning under both settings, so
   * that one can replace the other without a restart. Request classes may differ, as a request
   * keeps the settings that it was read under.
   */
  public boolean isWireCompatibleWith(RouterSettings other) {
    RoutingPermissions permissions = routing.permissions();
    RoutingPermissions otherPermissions = other.routing.permissions();
    return zones.equals(other.zones)
        && kinds.equals(other.kinds)
        && permissions.connectionIdleNanos() == otherPermissions.connectionIdleNanos()
        && routing.tenants().equals(other.routing.tenants())
        && routing.loadReportFields().equals(other.routing.loadReportFields())
        && permissions.connectTimeoutNanos() == otherPermissions.connectTimeoutNanos();
  }
}
