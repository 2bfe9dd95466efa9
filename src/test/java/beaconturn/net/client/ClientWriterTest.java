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
  private static final int LARGE = 32 << 20;
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
    writer = new ClientWriter(channel, Clock.system(), quiet -> {});
  }

  @AfterEach
  void end() throws IOException {
    client.close();
    channel.close();
    server.close();
  }

  private String read(int count) throws IOException {
    return new String(client.getInputStream().readNBytes(count), StandardCharsets.ISO_8859_1);
  }

  /**
   * A client that asks on and reads nothing must not have its answers pile up in the router's
   * memory.
   */
  @Test
  @Timeout(60)
  void behindAWriteThatIsStuckNoMoreRequestsAreTaken() throws Exception {
    writer.take(ResponseSlot.of(new Slice(new byte[LARGE], 0, LARGE)));
    assertTrue(writer.isBlocked());
    writer.take(ResponseSlot.of(Slice.of("+b\r\n")));
    assertTrue(writer.hasRoom());
    writer.take(ResponseSlot.of(Slice.of("+c\r\n")));
    assertFalse(writer.hasRoom());
    Thread taker =
        Threads.start(
            "test-taker",
            () -> {
              try {
                client.getInputStream().readNBytes(LARGE);
              } catch (IOException e) {
                Sockets.close(client);
              }
            });
    while (writer.isBlocked()) {
      writer.write();
    }
    taker.join();
    assertTrue(writer.hasRoom());
    assertEquals("+b\r\n+c\r\n", read(8));
  }

  /** Whichever answer is there first, the client gets them in the order of its commands. */
  @Test
  @Timeout(60)
  void answersAreWrittenInTheOrderOfTheCommands() throws Exception {
    ResponseSlot first = new ResponseSlot();
    ResponseSlot second = new ResponseSlot();
    writer.take(first);
    writer.take(second);
    second.fill(Slice.of("+2\r\n"));
    assertFalse(writer.finishIfIdle());
    first.fill(Slice.of("+1\r\n"));
    first.fill(Slice.of("+never\r\n"));
    assertTrue(writer.finishIfIdle());
    assertFalse(writer.take(ResponseSlot.of(Slice.of("+3\r\n"))));
    assertEquals("+1\r\n+2\r\n", read(99));
  }

  /** What is owed is written before the connection ends, however late it comes. */
  @Test
  @Timeout(60)
  void theEndComesBehindWhatIsOwed() throws Exception {
    ResponseSlot owed = new ResponseSlot();
    writer.take(owed);
    writer.finish();
    assertFalse(writer.take(new ResponseSlot()));
    assertEquals(Long.MAX_VALUE, writer.outputEndedAtNanos());
    owed.fill(Slice.of("+1\r\n"));
    assertEquals("+1\r\n", read(99));
  }
}
