package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.EventScheduler;
import beaconturn.standin.HistoryRecorder;
import beaconturn.standin.RandomSources;
import beaconturn.toml.TomlException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fault injection commands of operators to stand-ins. */
class FaultCommandsTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private final EventScheduler scheduler = new EventScheduler(0);
  private final EmulatedFleet fleet;
  private final FaultCommands commands;

  FaultCommandsTest() throws TomlException {
    fleet =
        new EmulatedFleet(
            scheduler,
            ScenarioReader.read("s", "[fleet]\ncaches = 3", null).emulatedFleetSpec(),
            new RandomSources(1),
            HistoryRecorder.NONE);
    commands = new FaultCommands(fleet);
  }

  private void advance(long nanos) {
    scheduler.advance(scheduler.now() + nanos);
  }

  private String status() {
    return commands.run("status").replaceAll(" +", " ");
  }

  @Test
  void faultStartsAfterDelayAndEndsAfterDuration() {
    assertEquals(
        "ok: stall at 1 cache servers in 4000 ms for 2000 ms",
        commands.run("stall c2 in 4s for 2s"));
    advance(4 * NANOS_PER_SECOND - 1);
    assertFalse(fleet.server(1).faults().stalled());
    advance(1);
    assertTrue(fleet.server(1).faults().stalled());
    assertFalse(fleet.server(0).faults().stalled());
    advance(2 * NANOS_PER_SECOND);
    assertFalse(fleet.server(1).faults().stalled());
  }

  @Test
  void amountIsFactorShareOrDelayDependingOnKind() {
    commands.run("slow c1 8");
    commands.run("errors all 0.25");
    commands.run("drain-late c3 2s");
    advance(0);
    assertTrue(status().contains("c1 slow 8.0, errors 0.25 "), status());
    assertTrue(status().contains("c3 draining, errors 0.25 "), status());
    assertEquals(4, fleet.discovery().version());
    advance(2 * NANOS_PER_SECOND);
    assertEquals(
        5, fleet.discovery().version(), "discovery lists the server as draining after the delay");
  }

  @Test
  void healEndsFaultsAndRestartsKilledServerCold() {
    commands.run("kill c1");
    commands.run("vanish c2");
    commands.run("origin-stop");
    advance(NANOS_PER_SECOND);
    assertTrue(status().contains("c1 dead "), status());
    assertTrue(status().contains("c2 vanished "), status());
    commands.run("heal c1");
    assertTrue(status().contains("c1 cold "), status());
    assertEquals("ok: all is well", commands.run("heal all"));
    assertTrue(status().contains("c2 well "), status());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "flood c1 | error: unknown order 'flood', see help",
        "router-kill r1 | error: unknown order 'router-kill', see help",
        "stall | error: stall needs a cache server, or all",
        "stall c9 | error: there is no cache server 'c9'",
        "stall c1 in | error: no time behind 'in', for example in 4s",
        "slow c1 x | error: 'x' is not from 0.01 to 10000.0",
        "errors c1 2 | error: '2' is not from 0.001 to 1.0",
        "stall c1 3 | error: stall takes no amount: '3'",
        "slow c1 3 now | error: not understood: 'now'",
        "drain-late c1 5 | error: '5' is no time"
      })
  void invalidCommandReturnsErrorAndChangesNothing(String command, String error) {
    String previousStatus = status();
    assertEquals(error, commands.run(command));
    advance(NANOS_PER_SECOND);
    assertEquals(previousStatus, status());
  }
}
