package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSchedulerTest {
  private final EventScheduler agenda = new EventScheduler(100);
  private final List<String> done = new ArrayList<>();

  @Test
  void tasksRunInTheOrderOfTheirTimesAndSeeTheTimeTheyWereDueAt() {
    agenda.in(30, () -> done.add("b at " + agenda.now()));
    agenda.in(
        10,
        () -> {
          done.add("a at " + agenda.now());
          agenda.in(5, () -> done.add("after a at " + agenda.now()));
        });
    agenda.in(30, () -> done.add("c at " + agenda.now()));
    agenda.in(500, () -> done.add("too late"));
    agenda.advance(200);
    assertEquals(List.of("a at 110", "after a at 115", "b at 130", "c at 130"), done);
    assertEquals(200, agenda.now());
    assertEquals(600, agenda.nextDueNanos());
  }

  @Test
  void whatIsCalledOffDoesNotRunAndIsNotWaitedFor() {
    agenda.in(10, () -> done.add("never")).cancel();
    assertEquals(Long.MAX_VALUE, agenda.nextDueNanos());
    agenda.advance(200);
    assertEquals(List.of(), done);
  }

  @Test
  void timeNeverGoesBack() {
    agenda.advance(50);
    assertEquals(100, agenda.now());
    agenda.at(20, () -> done.add("now at " + agenda.now()));
    agenda.advance(101);
    assertEquals(List.of("now at 100"), done);
  }
}
