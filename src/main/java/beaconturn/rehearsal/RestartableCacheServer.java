package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.Fault;
import beaconturn.standin.net.EmulatedFleetServer;

/**
 * A cache server's stand-in that a release restarts, after it was drained as operators would do.
 */
final class RestartableCacheServer {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time between the end of a process and the start of the next. */
  private static final long RESTART_DELAY_MILLIS = 100;

  private static final double ALL_REQUESTS_FAIL = 1;
  private static final double SLOW_FACTOR = 4;
  private final Scenario scenario;
  private final String name;
  private final int index;
  private final EmulatedFleetServer fleetServer;
  private final Clock clock;
  private final History history;
  private boolean released;

  RestartableCacheServer(
      Scenario scenario,
      String name,
      EmulatedFleetServer fleetServer,
      Clock clock,
      History history) {
    this.scenario = scenario;
    this.name = name;
    this.index = Scenario.cacheServerIndex(name);
    this.fleetServer = fleetServer;
    this.clock = clock;
    this.history = history;
  }

  /**
   * Restarts the server with the released variant or the previous one, unless it already runs it.
   *
   * @return whether the server runs
   */
  synchronized boolean changeVariant(boolean toReleased) throws InterruptedException {
    EmulatedFleet fleet = fleetServer.fleet();
    if (toReleased == released && !fleetServer.call(() -> fleet.server(index).dead())) {
      return true;
    }
    history.add(new HistoryEvent.VariantChangeStarted(clock.now(), name, -1, toReleased));
    released = toReleased;
    fleetServer.apply(() -> fleet.startFault(Fault.Kind.DRAIN, index, 0));
    Thread.sleep(
        (scenario.listLagNanos() + scenario.routingSettings().drainGraceNanos()) / NANOS_PER_MILLI);
    fleetServer.apply(() -> fleet.startFault(Fault.Kind.KILL, index, 0));
    Scenario.Defect defect = toReleased ? scenario.release().defect() : Scenario.Defect.NONE;
    if (defect == Scenario.Defect.CRASH) {
      return false;
    }
    Thread.sleep(RESTART_DELAY_MILLIS);
    fleetServer.apply(
        () -> {
          fleet.endFault(Fault.Kind.KILL, index);
          switch (defect) {
            case MUTE -> fleet.startFault(Fault.Kind.STALL, index, 0);
            case SLOWS -> fleet.startFault(Fault.Kind.SLOW, index, SLOW_FACTOR);
            case REFUSES -> fleet.startFault(Fault.Kind.ERRORS, index, ALL_REQUESTS_FAIL);
            default -> {}
          }
        });
    return true;
  }
}
