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

class FaultCommandsTest {
  private static final long SECOND = 1_000_000_000L;
  private final EventScheduler agenda = new EventScheduler(0);
  private final EmulatedFleet world;
  private final FaultCommands orders;

  FaultCommandsTest() throws TomlException {
    world =
        new EmulatedFleet(
            agenda,
            ScenarioReader.read("s", "[fleet]\ncaches = 3", null).world(),
            new RandomSources(1),
            HistoryRecorder.NONE);
    orders = new FaultCommands(world);
  }

  private void pass(long nanos) {
    agenda.advance(agenda.now() + nanos);
  }

  private String status() {
    return orders.run("status").replaceAll(" +", " ");
  }

  @Test
  void anOrderBeginsAtItsTimeAndEndsAfterItsLength() {
    assertEquals(
        "ok: stall at 1 cache servers in 4000 ms for 2000 ms", orders.run("stall c2 in 4s for 2s"));
    pass(4 * SECOND - 1);
    assertFalse(world.at(1).faults().stalled());
    pass(1);
    assertTrue(world.at(1).faults().stalled());
    assertFalse(world.at(0).faults().stalled());
    pass(2 * SECOND);
    assertFalse(world.at(1).faults().stalled());
  }

  @Test
  void amountsAreFactorsPartsOrTimesAsTheKindHasThem() {
    orders.run("slow c1 8");
    orders.run("errors all 0.25");
    orders.run("drain-late c3 2s");
    pass(0);
    assertTrue(status().contains("c1 slow 8.0, errors 0.25 "), status());
    assertTrue(status().contains("c3 draining, errors 0.25 "), status());
    assertEquals(4, world.discovery().version());
    pass(2 * SECOND);
    assertEquals(5, world.discovery().version(), "listed two seconds later");
  }

  @Test
  void healEndsWhatIsWrongAndStartsTheDeadCold() {
    orders.run("kill c1");
    orders.run("vanish c2");
    orders.run("origin-stop");
    pass(SECOND);
    assertTrue(status().contains("c1 dead "), status());
    assertTrue(status().contains("c2 vanished "), status());
    orders.run("heal c1");
    assertTrue(status().contains("c1 cold "), status());
    assertEquals("ok: all is well", orders.run("heal all"));
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
  void aWrongOrderSaysWhatIsWrongAndChangesNothing(String line, String answer) {
    String before = status();
    assertEquals(answer, orders.run(line));
    pass(SECOND);
    assertEquals(before, status());
  }
}
