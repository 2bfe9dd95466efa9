package beaconturn.core;

import beaconturn.decision.Routing;
import java.util.List;

/**
 * All settings of one router: those that the module decides by, and what only the wire needs,
 * namely the names behind the numbers.
 */
public record RouterSettings(
    Routing.Settings routing, List<String> classNames, List<String> zones, List<String> kinds) {
  /**
   * Whether lists, answers and connections mean the same under both, so that one may follow the
   * other at once. Classes may differ: a request keeps the settings that it was read under.
   */
  public boolean sameWire(RouterSettings other) {
    Routing.Permissions may = routing.permissions();
    Routing.Permissions others = other.routing.permissions();
    return zones.equals(other.zones)
        && kinds.equals(other.kinds)
        && may.connIdle() == others.connIdle()
        && routing.tenants().equals(other.routing.tenants())
        && routing.reportNames().equals(other.routing.reportNames())
        && may.connectTimeout() == others.connectTimeout();
  }
}
