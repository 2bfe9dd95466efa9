package beaconturn.net.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Supervised threads restart after failures. */
@Timeout(60)
class ThreadsTest {
  @Test
  void restartsSupervisedLoopAfterAnyThrowable() throws Exception {
    BlockingQueue<Throwable> failures =
        new LinkedBlockingQueue<>(
            List.of(
                new IllegalStateException("one"),
                new StackOverflowError(),
                new OutOfMemoryError("three")));
    BlockingQueue<String> completions = new LinkedBlockingQueue<>();
    Thread thread =
        Threads.supervised(
            "test-loop",
            () -> {
              Throwable next = failures.poll();
              if (next instanceof Error e) {
                throw e;
              }
              if (next instanceof RuntimeException e) {
                throw e;
              }
              completions.add("to its end");
            });
    assertEquals("to its end", completions.poll(20, TimeUnit.SECONDS));
    thread.join();
    assertTrue(failures.isEmpty());
  }
}
