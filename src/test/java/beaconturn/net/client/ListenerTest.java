package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import beaconturn.net.TestPeer;
import beaconturn.net.io.Threads;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Accepting clients, up to the end and in spite of failures. */
@Timeout(60)
class ListenerTest {
  private final BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /**
   * What the kernel has accepted a client has written to: closing the socket under it would lose a
   * request.
   */
  @Test
  void whatTheKernelHasAcceptedIsAcceptedBeforeTheEnd() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    Listener listener =
        Listener.bind(
            anyPort(),
            channel -> {
              if (busy.getCount() > 0) {
                busy.countDown();
                TestPeer.await(release);
                throw new IllegalStateException("of the test's own: accepting stops for a moment");
              }
              accepted.add(channel);
            });
    listener.start();
    try (TestPeer.Line first = TestPeer.Line.to(listener.address())) {
      first.write("x");
      busy.await();
      try (TestPeer.Line waits = TestPeer.Line.to(listener.address())) {
        waits.write("x");
        Thread closer = Threads.start("test-close", () -> closeQuietly(listener));
        TestPeer.until(
            () ->
                closer.getState() == Thread.State.TIMED_WAITING
                    || closer.getState() == Thread.State.TERMINATED);
        release.countDown();
        assertNotNull(accepted.poll(20, TimeUnit.SECONDS), "the one in the kernel's queue");
        closer.join();
      }
    }
  }

  private static void closeQuietly(Listener listener) {
    try {
      listener.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** One client that fails whoever takes it must not keep the others out. */
  @Test
  void acceptingGoesOnAfterAFailure() throws Exception {
    AtomicInteger failures = new AtomicInteger();
    Listener listener =
        Listener.bind(
            anyPort(),
            channel -> {
              if (failures.incrementAndGet() <= 3) {
                throw new OutOfMemoryError("of the test's own");
              }
              accepted.add(channel);
            });
    listener.start();
    for (int i = 0; i < 3; i++) {
      try (TestPeer.Line failing = TestPeer.Line.to(listener.address())) {
        assertEquals("", failing.rest());
      }
    }
    try (TestPeer.Line client = TestPeer.Line.to(listener.address())) {
      client.write("x");
      accepted.poll(20, TimeUnit.SECONDS).close();
    } finally {
      listener.close();
    }
  }
}
