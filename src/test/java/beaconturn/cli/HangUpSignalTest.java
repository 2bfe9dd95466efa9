package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangUpSignalTest {
  /** Without a handler the signal would terminate the JVM of this test. */
  @Test
  void eachSignalRunsActionAndDoesNotTerminateJvm() throws Exception {
    Semaphore receivedSignals = new Semaphore(0);
    HangUpSignal.handle(receivedSignals::release);
    for (int i = 0; i < 3; i++) {
      String processId = Long.toString(ProcessHandle.current().pid());
      assertTrue(new ProcessBuilder("kill", "-HUP", processId).start().waitFor() == 0);
      assertTrue(receivedSignals.tryAcquire(20, TimeUnit.SECONDS), "signal " + i);
    }
  }
}
