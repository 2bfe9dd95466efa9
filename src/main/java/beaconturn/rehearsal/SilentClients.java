package beaconturn.rehearsal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients that connect to a router and say nothing, or begin a command and stay; each comes again
 * when its connection has ended. What they ask for is nothing, so nobody owes them an answer.
 */
final class SilentClients {
  private static final long STEP_MILLIS = 20;

  /** One that was closed comes again so many steps later, as a client that was turned away does. */
  private static final int STEPS_APART = 25;

  private static final int READ = 64;
  private static final byte[] BEGUN = "*4\r\n$5\r\nC.G".getBytes(StandardCharsets.US_ASCII);
  private final InetSocketAddress router;
  private final int count;
  private final List<SocketChannel> open = new ArrayList<>();
  private volatile boolean over;
  private int made;

  SilentClients(InetSocketAddress router, int count) {
    this.router = router;
    this.count = count;
  }

  void start() {
    Thread thread = new Thread(this::run, "silent");
    thread.setDaemon(true);
    thread.start();
  }

  void finish() {
    over = true;
  }

  private void run() {
    try {
      for (int step = 0; !over; step++) {
        open.removeIf(SilentClients::ended);
        if (step % STEPS_APART == 0) {
          connect();
        }
        Thread.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.forEach(SilentClients::close);
    }
  }

  private void connect() {
    try {
      while (open.size() < count) {
        SocketChannel next = SocketChannel.open();
        open.add(next);
        next.connect(router);
        if (++made % 2 == 0) {
          next.write(ByteBuffer.wrap(BEGUN));
        }
        next.configureBlocking(false);
      }
    } catch (IOException e) {
      // The router is not there now; those that failed are dropped and come again.
      close(open.remove(open.size() - 1));
    }
  }

  private static boolean ended(SocketChannel one) {
    try {
      if (one.read(ByteBuffer.allocate(READ)) >= 0) {
        return false;
      }
    } catch (IOException e) {
      // Reset: over as well.
      close(one);
      return true;
    }
    close(one);
    return true;
  }

  private static void close(SocketChannel one) {
    try {
      one.close();
    } catch (IOException e) {
      // Nothing is left to do with a socket that fails to close.
      return;
    }
  }
}
