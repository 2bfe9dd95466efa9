package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangUpSignalTest {
  /**
   * Uncaught, the signal ends the JVM, and this test run with it; caught, each one asks once more.
   */
  @Test
  void eachHangUpRunsTheActionAndEndsNothing() throws Exception {
    Semaphore seen = new Semaphore(0);
    HangUpSignal.handle(seen::release);
    for (int i = 0; i < 3; i++) {
      String self = Long.toString(ProcessHandle.current().pid());
      assertTrue(new ProcessBuilder("kill", "-HUP", self).start().waitFor() == 0);
      assertTrue(seen.tryAcquire(20, TimeUnit.SECONDS), "signal " + i);
    }
  }
}
