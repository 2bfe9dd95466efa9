package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSchedulerTest {
  private final EventScheduler scheduler = new EventScheduler(100);
  private final List<String> log = new ArrayList<>();

  @Test
  void tasksRunInOrderAndSeeTheirDueTime() {
    scheduler.in(30, () -> log.add("b at " + scheduler.now()));
    scheduler.in(
        10,
        () -> {
          log.add("a at " + scheduler.now());
          scheduler.in(5, () -> log.add("after a at " + scheduler.now()));
        });
    scheduler.in(30, () -> log.add("c at " + scheduler.now()));
    scheduler.in(500, () -> log.add("too late"));
    scheduler.advance(200);
    assertEquals(List.of("a at 110", "after a at 115", "b at 130", "c at 130"), log);
    assertEquals(200, scheduler.now());
    assertEquals(600, scheduler.nextDueNanos());
  }

  @Test
  void cancelledTaskDoesNotRunAndIsNotDue() {
    scheduler.in(10, () -> log.add("never")).cancel();
    assertEquals(Long.MAX_VALUE, scheduler.nextDueNanos());
    scheduler.advance(200);
    assertEquals(List.of(), log);
  }

  @Test
  void timeNeverGoesBackwards() {
    scheduler.advance(50);
    assertEquals(100, scheduler.now());
    scheduler.at(20, () -> log.add("now at " + scheduler.now()));
    scheduler.advance(101);
    assertEquals(List.of("now at 100"), log);
  }
}
