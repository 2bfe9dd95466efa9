package beaconturn.net.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class WorkerPoolTest {
  private static final long LONG = 3_600_000_000_000L;
  private final BlockingQueue<Thread> ran = new LinkedBlockingQueue<>();

  private Thread run(WorkerPool workers) throws InterruptedException {
    workers.run(() -> ran.add(Thread.currentThread()));
    return ran.take();
  }

  /** Round robin among all would keep each of them busy enough never to end. */
  @Test
  void theThreadThatCameBackLastIsUsedFirst() throws Exception {
    WorkerPool workers = new WorkerPool("test", LONG);
    CountDownLatch over = new CountDownLatch(1);
    workers.run(
        () -> {
          ran.add(Thread.currentThread());
          try {
            over.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    Thread busy = ran.take();
    Thread other = run(workers);
    assertNotSame(busy, other);
    for (int i = 0; i < 50; i++) {
      TestPeer.until(() -> other.getState() == Thread.State.TIMED_WAITING);
      assertSame(other, run(workers));
    }
    assertEquals(2, workers.threadCount());
    over.countDown();
  }

  /** Guards against a job given to a thread at the moment when its wait is over. */
  @Test
  void noJobIsLostAtTheEndOfAThreadsWait() throws Exception {
    WorkerPool workers = new WorkerPool("test", 1);
    for (int i = 0; i < 2000; i++) {
      run(workers);
    }
    TestPeer.until(() -> workers.threadCount() == 0);
  }

  @Test
  void aJobThatFailsEndsNothing() throws Exception {
    WorkerPool workers = new WorkerPool("test", LONG);
    workers.run(
        () -> {
          throw new IllegalStateException("as the test wants");
        });
    run(workers);
    assertTrue(workers.threadCount() <= 2);
  }
}
