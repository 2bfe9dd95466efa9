package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OriginModelTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private final EventScheduler scheduler = new EventScheduler(0);
  private final List<Long> results = new ArrayList<>();
  private final OriginModel origin =
      new OriginModel(
          scheduler,
          new OriginModel.Spec(2, 10, 100 * MILLI, 3, SECOND, 2 * SECOND),
          new RandomSources(1).of("origin"),
          HistoryRecorder.NONE);

  private void fetch(int count) {
    for (int i = 0; i < count; i++) {
      origin.fetch("c1", false, "k", results::add);
    }
  }

  private void advance(long nanos) {
    scheduler.advance(scheduler.now() + nanos);
  }

  @Test
  void callsBeyondTheWorkersAreQueued() {
    fetch(4);
    assertEquals(4, origin.pending());
    advance(150 * MILLI);
    assertTrue(results.size() < 4);
    advance(SECOND);
    assertEquals(List.of(0L, 0L, 0L, 0L), results);
    assertEquals(0, origin.pending());
  }

  @Test
  void callsBeyondTheQueueFailAtOnce() {
    fetch(13);
    advance(0);
    assertEquals(List.of(OriginModel.FAILED), results);
  }

  @Test
  void lastingOverloadCollapsesTheOriginUntilTheOutageEnds() {
    origin.setSlowdown(100);
    fetch(7);
    advance(999 * MILLI);
    assertFalse(origin.overloaded());
    advance(2 * MILLI);
    assertTrue(origin.overloaded());
    assertEquals(7, results.stream().filter(version -> version == OriginModel.FAILED).count());
    fetch(1);
    advance(MILLI);
    assertEquals(8, results.size(), "calls are rejected during the outage");
    origin.setSlowdown(1);
    advance(2 * SECOND);
    fetch(1);
    advance(SECOND);
    assertEquals(0L, results.get(8));
  }

  @Test
  void overloadThatEndsInTimeIsHarmless() {
    origin.setSlowdown(6);
    fetch(7);
    advance(950 * MILLI);
    assertTrue(origin.pending() <= 6);
    advance(10 * SECOND);
    assertFalse(origin.overloaded());
    assertEquals(List.of(0L, 0L, 0L, 0L, 0L, 0L, 0L), results);
  }

  @Test
  void eachWriteIsCountedAndRaisesTheVersionByOne() {
    origin.write("c1", false, "k", "e", results::add);
    advance(SECOND);
    origin.write("c1", false, "k", "e", results::add);
    advance(SECOND);
    assertEquals(List.of(1L, 2L), results);
    assertEquals(2, origin.executionCount("e"));
    assertEquals(2, origin.version("k"));
  }

  @Test
  void stoppedOriginKeepsCallsAndResumesThem() {
    fetch(3);
    origin.setStopped(true);
    advance(5 * SECOND);
    assertEquals(List.of(), results);
    origin.setStopped(false);
    advance(SECOND);
    assertEquals(3, results.size());
  }
}
