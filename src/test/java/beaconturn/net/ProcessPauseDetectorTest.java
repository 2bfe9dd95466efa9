package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ProcessPauseDetectorTest {
  private static final long MILLI = 1_000_000;

  @Test
  void aPauseIsToldOnceWithTheProcessorTimeThatWentByInIt() {
    AtomicLong now = new AtomicLong();
    AtomicLong used = new AtomicLong(900 * MILLI);
    ProcessPauseDetector pauses = new ProcessPauseDetector(now::get, used::get);
    now.addAndGet(60 * MILLI);
    assertNull(pauses.check());
    now.addAndGet(2500 * MILLI);
    used.addAndGet(7 * MILLI);
    assertEquals("stood still for 2500 ms, with 7 ms of processor time", pauses.check());
    assertNull(pauses.check());
  }

  @Test
  void processorTimeIsUserAndSystemTimeWhateverTheProcessIsCalled() {
    assertEquals(
        710 * MILLI,
        ProcessPauseDetector.processorTimeNanos("7 (a) b (c) S 1 7 7 0 -1 4 9 0 0 0 64 7 3 4 20"));
    assertEquals(0, ProcessPauseDetector.processorTimeNanos("7 (java) S 1"));
  }
}
