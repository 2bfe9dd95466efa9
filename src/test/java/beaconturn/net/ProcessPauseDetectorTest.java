package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ProcessPauseDetectorTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  @Test
  void reportsPauseOnceWithCpuTime() {
    AtomicLong nowNanos = new AtomicLong();
    AtomicLong usedNanos = new AtomicLong(900 * NANOS_PER_MILLI);
    ProcessPauseDetector pauses = new ProcessPauseDetector(nowNanos::get, usedNanos::get);
    nowNanos.addAndGet(60 * NANOS_PER_MILLI);
    assertNull(pauses.check());
    nowNanos.addAndGet(2500 * NANOS_PER_MILLI);
    usedNanos.addAndGet(7 * NANOS_PER_MILLI);
    assertEquals("process paused for 2500 ms, using 7 ms of CPU time", pauses.check());
    assertNull(pauses.check());
  }

  @Test
  void cpuTimeIsUserPlusSystemTime() {
    assertEquals(
        710 * NANOS_PER_MILLI,
        ProcessPauseDetector.cpuTimeNanos("7 (a) b (c) S 1 7 7 0 -1 4 9 0 0 0 64 7 3 4 20"));
    assertEquals(0, ProcessPauseDetector.cpuTimeNanos("7 (java) S 1"));
  }
}
