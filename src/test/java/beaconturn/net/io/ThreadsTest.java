package beaconturn.net.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Threads that the router cannot do without. */
@Timeout(60)
class ThreadsTest {
  @Test
  void aSupervisedLoopBeginsAnewAfterWhateverItThrows() throws Exception {
    BlockingQueue<Throwable> throwing =
        new LinkedBlockingQueue<>(
            List.of(
                new IllegalStateException("one"),
                new StackOverflowError(),
                new OutOfMemoryError("three")));
    BlockingQueue<String> ran = new LinkedBlockingQueue<>();
    Thread thread =
        Threads.supervised(
            "test-loop",
            () -> {
              Throwable next = throwing.poll();
              if (next instanceof Error e) {
                throw e;
              }
              if (next instanceof RuntimeException e) {
                throw e;
              }
              ran.add("to its end");
            });
    assertEquals("to its end", ran.poll(20, TimeUnit.SECONDS));
    thread.join();
    assertTrue(throwing.isEmpty());
  }
}
