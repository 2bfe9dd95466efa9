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

/** Accepting clients: shutdown and recovery from failures. */
@Timeout(60)
class ListenerTest {
  private final BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** Clients may have sent requests on connections that wait in the kernel's queue. */
  @Test
  void acceptsQueuedConnectionsBeforeClosing() throws Exception {
    CountDownLatch firstAccepted = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    Listener listener =
        Listener.bind(
            anyPort(),
            channel -> {
              if (firstAccepted.getCount() > 0) {
                firstAccepted.countDown();
                TestPeer.await(resume);
                throw new IllegalStateException("injected by the test: accepting pauses");
              }
              accepted.add(channel);
            });
    listener.start();
    try (TestPeer.Connection first = TestPeer.Connection.to(listener.address())) {
      first.write("x");
      firstAccepted.await();
      try (TestPeer.Connection queuedClient = TestPeer.Connection.to(listener.address())) {
        queuedClient.write("x");
        Thread closer = Threads.start("test-close", () -> closeQuietly(listener));
        TestPeer.until(
            () ->
                closer.getState() == Thread.State.TIMED_WAITING
                    || closer.getState() == Thread.State.TERMINATED);
        resume.countDown();
        assertNotNull(accepted.poll(20, TimeUnit.SECONDS), "the connection in the kernel's queue");
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

  /** A failure with one client must not keep others out. */
  @Test
  void continuesAcceptingAfterFailure() throws Exception {
    AtomicInteger failures = new AtomicInteger();
    Listener listener =
        Listener.bind(
            anyPort(),
            channel -> {
              if (failures.incrementAndGet() <= 3) {
                throw new OutOfMemoryError("injected by the test");
              }
              accepted.add(channel);
            });
    listener.start();
    for (int i = 0; i < 3; i++) {
      try (TestPeer.Connection failing = TestPeer.Connection.to(listener.address())) {
        assertEquals("", failing.readRemaining());
      }
    }
    try (TestPeer.Connection client = TestPeer.Connection.to(listener.address())) {
      client.write("x");
      accepted.poll(20, TimeUnit.SECONDS).close();
    } finally {
      listener.close();
    }
  }
}
