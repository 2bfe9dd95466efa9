package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.Fault;
import beaconturn.standin.net.EmulatedFleetServer;

/**
 * A cache server of a play that a release restarts: drained first, as an operator's command would
 * do.
 */
final class RestartableCacheServer {
  private static final long MILLI = 1_000_000;

  /** From the end of a process to the begin of the next. */
  private static final long RESTART_MILLIS = 100;

  private static final double NOTHING_WORKS = 1;
  private static final double SLOWER = 4;
  private final Scenario scenario;
  private final String name;
  private final int place;
  private final EmulatedFleetServer surroundings;
  private final Clock clock;
  private final History account;
  private boolean released;

  RestartableCacheServer(
      Scenario scenario,
      String name,
      EmulatedFleetServer surroundings,
      Clock clock,
      History account) {
    this.scenario = scenario;
    this.name = name;
    this.place = Scenario.place(name);
    this.surroundings = surroundings;
    this.clock = clock;
    this.account = account;
  }

  /** Has it run what is released, or what was there before; whether it runs then, cold. */
  synchronized boolean change(boolean toReleased) throws InterruptedException {
    EmulatedFleet world = surroundings.world();
    if (toReleased == released && !surroundings.ask(() -> world.at(place).dead())) {
      return true;
    }
    account.add(new HistoryEvent.VariantChangeBegun(clock.now(), name, -1, toReleased));
    released = toReleased;
    surroundings.tell(() -> world.begin(Fault.Kind.DRAIN, place, 0));
    Thread.sleep((scenario.listLag() + scenario.rules().drainGrace()) / MILLI);
    surroundings.tell(() -> world.begin(Fault.Kind.KILL, place, 0));
    Scenario.Harm harm = toReleased ? scenario.release().harm() : Scenario.Harm.NONE;
    if (harm == Scenario.Harm.CRASH) {
      return false;
    }
    Thread.sleep(RESTART_MILLIS);
    surroundings.tell(
        () -> {
          world.end(Fault.Kind.KILL, place);
          switch (harm) {
            case MUTE -> world.begin(Fault.Kind.STALL, place, 0);
            case SLOWS -> world.begin(Fault.Kind.SLOW, place, SLOWER);
            case REFUSES -> world.begin(Fault.Kind.ERRORS, place, NOTHING_WORKS);
            default -> {}
          }
        });
    return true;
  }
}
