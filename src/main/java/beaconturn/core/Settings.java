package beaconturn.core;

import beaconturn.decision.Routing;
import java.util.List;

/**
 * All settings of one router: those that the module decides by, and what only the wire needs, namely the
 * names behind the numbers.
 */
public record Settings(Routing.Settings routing, List<String> classNames, List<String> zones,
        List<String> kinds) {
    /** Whether the wire is read and written alike under both, so that one may follow the other at once. */
    public boolean sameWire(Settings other) {
        Routing.Permissions may = routing.permissions();
        Routing.Permissions others = other.routing.permissions();
        return classNames.equals(other.classNames) && zones.equals(other.zones) && kinds.equals(other.kinds)
            && may.connIdle() == others.connIdle() && routing.classes().equals(other.routing.classes())
            && routing.tenants().equals(other.routing.tenants())
            && routing.reportNames().equals(other.routing.reportNames())
            && may.connectTimeout() == others.connectTimeout();
    }
}
