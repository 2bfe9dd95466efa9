package beaconturn.rehearsal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients that connect to a router and send nothing, or only part of a command, to occupy its
 * connections. Each connects again after its connection was closed. They get no response.
 */
final class SilentClients {
  private static final long STEP_INTERVAL_MILLIS = 20;

  /** Steps between attempts to connect again, as a rejected client waits before it retries. */
  private static final int STEPS_BETWEEN_CONNECTS = 25;

  private static final int READ_BUFFER_BYTES = 64;
  private static final byte[] PARTIAL_COMMAND =
      "*4\r\n$5\r\nC.G".getBytes(StandardCharsets.US_ASCII);
  private final InetSocketAddress router;
  private final int count;
  private final List<SocketChannel> openChannels = new ArrayList<>();
  private volatile boolean finished;
  private int createdCount;

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
    finished = true;
  }

  private void run() {
    try {
      for (int step = 0; !finished; step++) {
        openChannels.removeIf(SilentClients::closeIfEnded);
        if (step % STEPS_BETWEEN_CONNECTS == 0) {
          connect();
        }
        Thread.sleep(STEP_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      openChannels.forEach(SilentClients::close);
    }
  }

  private void connect() {
    try {
      while (openChannels.size() < count) {
        SocketChannel channel = SocketChannel.open();
        openChannels.add(channel);
        channel.connect(router);
        if (++createdCount % 2 == 0) {
          channel.write(ByteBuffer.wrap(PARTIAL_COMMAND));
        }
        channel.configureBlocking(false);
      }
    } catch (IOException e) {
      // The router does not accept connections now; the failed connection is retried later.
      close(openChannels.remove(openChannels.size() - 1));
    }
  }

  private static boolean closeIfEnded(SocketChannel channel) {
    try {
      if (channel.read(ByteBuffer.allocate(READ_BUFFER_BYTES)) >= 0) {
        return false;
      }
    } catch (IOException e) {
      // The connection was reset.
      close(channel);
      return true;
    }
    close(channel);
    return true;
  }

  private static void close(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // A socket that fails to close needs no further handling.
      return;
    }
  }
}
