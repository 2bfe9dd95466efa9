package beaconturn.rehearsal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class FaultProxyTest {
  private static final int SHORT_TIMEOUT_MILLIS = 100;
  private static final int LONG_TIMEOUT_MILLIS = 10_000;
  private final BlockingQueue<Integer> received = new LinkedBlockingQueue<>();
  private ServerSocket target;
  private FaultProxy proxy;

  @BeforeEach
  void start() throws IOException {
    target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread echo =
        new Thread(
            () -> {
              while (!target.isClosed()) {
                try {
                  Socket socket = target.accept();
                  new Thread(() -> echo(socket)).start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    echo.start();
    proxy = new FaultProxy(new java.net.InetSocketAddress("127.0.0.1", target.getLocalPort()));
  }

  private void echo(Socket socket) {
    try (socket) {
      for (int value = socket.getInputStream().read();
          value >= 0;
          value = socket.getInputStream().read()) {
        received.add(value);
        socket.getOutputStream().write(value);
      }
    } catch (IOException e) {
      return;
    }
  }

  @AfterEach
  void stop() throws IOException {
    proxy.close();
    target.close();
  }

  private Socket connect(int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.connect(proxy.address(), timeoutMillis);
    socket.setSoTimeout(LONG_TIMEOUT_MILLIS);
    return socket;
  }

  private static int sendAndReceive(Socket socket, int value) throws IOException {
    socket.getOutputStream().write(value);
    return socket.getInputStream().read();
  }

  /** Open connections stay open without traffic; new ones are not established. */
  @Test
  void cutConnectionsStaySilentUntilTheProxyOpens() throws IOException {
    try (Socket established = connect(LONG_TIMEOUT_MILLIS)) {
      assertEquals(1, sendAndReceive(established, 1));
      proxy.setState(FaultProxy.State.CUT, 0);
      assertThrows(SocketTimeoutException.class, () -> connect(SHORT_TIMEOUT_MILLIS));
      established.setSoTimeout(SHORT_TIMEOUT_MILLIS);
      assertThrows(SocketTimeoutException.class, () -> sendAndReceive(established, 2));
      proxy.setState(FaultProxy.State.OPEN, 0);
      established.setSoTimeout(LONG_TIMEOUT_MILLIS);
      assertEquals(2, established.getInputStream().read());
      try (Socket fresh = connect(LONG_TIMEOUT_MILLIS)) {
        assertEquals(3, sendAndReceive(fresh, 3));
      }
    }
  }

  /** As a kernel drops undelivered data on a reset, and still delivers it after a close. */
  @Test
  void dropsDataOfConnectionsResetDuringACutAndDeliversThatOfClosedOnes() throws Exception {
    Socket resetSocket = connect(LONG_TIMEOUT_MILLIS);
    Socket closedSocket = connect(LONG_TIMEOUT_MILLIS);
    assertEquals(1, sendAndReceive(resetSocket, 1));
    assertEquals(2, sendAndReceive(closedSocket, 2));
    proxy.setState(FaultProxy.State.CUT, 0);
    resetSocket.getOutputStream().write(3);
    closedSocket.getOutputStream().write(4);
    while (proxy.heldCount() < 2) {
      Thread.onSpinWait();
    }
    resetSocket.setSoLinger(true, 0);
    resetSocket.close();
    closedSocket.close();
    proxy.setState(FaultProxy.State.OPEN, 0);
    assertEquals(List.of(1, 2, 4), List.of(received.take(), received.take(), received.take()));
    try (Socket fresh = connect(LONG_TIMEOUT_MILLIS)) {
      assertEquals(5, sendAndReceive(fresh, 5));
      assertEquals(5, received.take());
    }
  }

  /** Data whose sender resets the connection during the delay must not arrive later. */
  @Test
  void dropsDataOfConnectionsResetDuringADelay() throws Exception {
    Socket resetSocket = connect(LONG_TIMEOUT_MILLIS);
    assertEquals(1, sendAndReceive(resetSocket, 1));
    proxy.setState(FaultProxy.State.SLOW, SHORT_TIMEOUT_MILLIS * 1_000_000L);
    resetSocket.getOutputStream().write(3);
    resetSocket.setSoLinger(true, 0);
    resetSocket.close();
    try (Socket fresh = connect(LONG_TIMEOUT_MILLIS)) {
      assertEquals(5, sendAndReceive(fresh, 5));
      assertEquals(List.of(1, 5), List.of(received.take(), received.take()));
    }
  }

  /** The request arrives, no response is returned, and the connection ends. */
  @Test
  void lostResponseEndsTheConnection() throws IOException {
    try (Socket established = connect(LONG_TIMEOUT_MILLIS)) {
      assertEquals(1, sendAndReceive(established, 1));
      proxy.setState(FaultProxy.State.RESPONSE_LOST, 0);
      assertThrows(
          IOException.class,
          () -> {
            if (sendAndReceive(established, 2) < 0) {
              throw new IOException("ended");
            }
          });
    }
  }
}
