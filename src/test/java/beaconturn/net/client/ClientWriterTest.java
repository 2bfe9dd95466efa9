package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Clock;
import beaconturn.net.io.Sockets;
import beaconturn.net.io.Threads;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ClientWriterTest {
  private static final int LARGE_BYTES = 32 << 20;
  private ServerSocketChannel server;
  private Socket client;
  private SocketChannel channel;
  private ClientWriter writer;

  @BeforeEach
  void connect() throws IOException {
    server =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    client = new Socket(InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
    channel = server.accept();
    channel.configureBlocking(false);
    writer = new ClientWriter(channel, Clock.system(), new PipelineLimit(1000), idle -> {});
  }

  @AfterEach
  void closeSockets() throws IOException {
    client.close();
    channel.close();
    server.close();
  }

  private String read(int count) throws IOException {
    return new String(client.getInputStream().readNBytes(count), StandardCharsets.ISO_8859_1);
  }

  /** Responses to a client that sends requests but reads nothing must not accumulate in memory. */
  @Test
  @Timeout(60)
  void hasNoCapacityBehindBlockedWrite() throws Exception {
    writer.enqueue(ResponseSlot.of(new Slice(new byte[LARGE_BYTES], 0, LARGE_BYTES)));
    assertTrue(writer.isBlocked());
    writer.enqueue(ResponseSlot.of(Slice.of("+b\r\n")));
    assertTrue(writer.hasCapacity());
    writer.enqueue(ResponseSlot.of(Slice.of("+c\r\n")));
    assertFalse(writer.hasCapacity());
    Thread reader =
        Threads.start(
            "test-taker",
            () -> {
              try {
                client.getInputStream().readNBytes(LARGE_BYTES);
              } catch (IOException e) {
                Sockets.close(client);
              }
            });
    while (writer.isBlocked()) {
      writer.write();
    }
    reader.join();
    assertTrue(writer.hasCapacity());
    assertEquals("+b\r\n+c\r\n", read(8));
  }

  /** Guards against a heap that is full of responses which their clients already have. */
  @Test
  void slotsThatAreKeptHoldNoWrittenResponse() {
    ResponseSlot written = ResponseSlot.of(Slice.of("+1\r\n"));
    ResponseSlot outstanding = new ResponseSlot();
    writer.enqueue(written);
    writer.enqueue(outstanding);
    assertEquals(0, written.bytes().length());
    assertTrue(written.isFilled());
    writer.discardPending();
    assertTrue(outstanding.fill(Slice.of("+2\r\n")));
    assertEquals(0, outstanding.bytes().length());
    assertFalse(outstanding.fill(Slice.of("+3\r\n")));
  }

  @Test
  @Timeout(60)
  void writesResponsesInCommandOrder() throws Exception {
    ResponseSlot first = new ResponseSlot();
    ResponseSlot second = new ResponseSlot();
    writer.enqueue(first);
    writer.enqueue(second);
    second.fill(Slice.of("+2\r\n"));
    assertFalse(writer.shutdownOutputIfIdle());
    first.fill(Slice.of("+1\r\n"));
    first.fill(Slice.of("+never\r\n"));
    assertTrue(writer.shutdownOutputIfIdle());
    assertFalse(writer.enqueue(ResponseSlot.of(Slice.of("+3\r\n"))));
    assertEquals("+1\r\n+2\r\n", read(99));
  }

  @Test
  @Timeout(60)
  void shutsDownOutputAfterPendingResponses() throws Exception {
    ResponseSlot pendingSlot = new ResponseSlot();
    writer.enqueue(pendingSlot);
    writer.shutdownOutputAfterPending();
    assertFalse(writer.enqueue(new ResponseSlot()));
    assertEquals(Long.MAX_VALUE, writer.outputShutdownAtNanos());
    pendingSlot.fill(Slice.of("+1\r\n"));
    assertEquals("+1\r\n", read(99));
  }
}
