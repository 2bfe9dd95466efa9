package beaconturn.core;

import beaconturn.decision.Routing;
import java.util.List;

/**
 * All settings of one router: those that the module decides by, and what only the wire needs, namely the
 * names behind the numbers and how long an idle connection to a cache server lives.
 */
public record Settings(Routing.Settings routing, List<String> classNames, List<String> zones,
        List<String> kinds, long idleTime) { }
