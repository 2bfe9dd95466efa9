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
  private static final long KEEP_ALIVE_NANOS = 3_600_000_000_000L;
  private final BlockingQueue<Thread> usedThreads = new LinkedBlockingQueue<>();

  private Thread run(WorkerPool workers) throws InterruptedException {
    workers.run(() -> usedThreads.add(Thread.currentThread()));
    return usedThreads.take();
  }

  /** Round robin would keep every thread busy enough to never reach its keep-alive time. */
  @Test
  void usesMostRecentlyIdleThreadFirst() throws Exception {
    WorkerPool workers = new WorkerPool("test", KEEP_ALIVE_NANOS);
    CountDownLatch done = new CountDownLatch(1);
    workers.run(
        () -> {
          usedThreads.add(Thread.currentThread());
          try {
            done.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    Thread busy = usedThreads.take();
    Thread other = run(workers);
    assertNotSame(busy, other);
    for (int i = 0; i < 50; i++) {
      TestPeer.until(() -> other.getState() == Thread.State.TIMED_WAITING);
      assertSame(other, run(workers));
    }
    assertEquals(2, workers.threadCount());
    done.countDown();
  }

  /** Guards against losing a job that is assigned to a thread just as its wait ends. */
  @Test
  void losesNoJobWhenKeepAliveTimeEnds() throws Exception {
    WorkerPool workers = new WorkerPool("test", 1);
    for (int i = 0; i < 2000; i++) {
      run(workers);
    }
    TestPeer.until(() -> workers.threadCount() == 0);
  }

  @Test
  void failedJobDoesNotStopPool() throws Exception {
    WorkerPool workers = new WorkerPool("test", KEEP_ALIVE_NANOS);
    workers.run(
        () -> {
          throw new IllegalStateException("thrown by the test");
        });
    run(workers);
    assertTrue(workers.threadCount() <= 2);
  }
}
