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
  private static final int SHORT_MILLIS = 100;
  private static final int LONG_MILLIS = 10_000;
  private final BlockingQueue<Integer> heard = new LinkedBlockingQueue<>();
  private ServerSocket behind;
  private FaultProxy link;

  @BeforeEach
  void start() throws IOException {
    behind = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread echo =
        new Thread(
            () -> {
              while (!behind.isClosed()) {
                try {
                  Socket one = behind.accept();
                  new Thread(() -> echo(one)).start();
                } catch (IOException e) {
                  return;
                }
              }
            });
    echo.start();
    link = new FaultProxy(new java.net.InetSocketAddress("127.0.0.1", behind.getLocalPort()));
  }

  private void echo(Socket one) {
    try (one) {
      for (int got = one.getInputStream().read(); got >= 0; got = one.getInputStream().read()) {
        heard.add(got);
        one.getOutputStream().write(got);
      }
    } catch (IOException e) {
      return;
    }
  }

  @AfterEach
  void end() throws IOException {
    link.close();
    behind.close();
  }

  private Socket connect(int millis) throws IOException {
    Socket socket = new Socket();
    socket.connect(link.address(), millis);
    socket.setSoTimeout(LONG_MILLIS);
    return socket;
  }

  private static int said(Socket socket, int what) throws IOException {
    socket.getOutputStream().write(what);
    return socket.getInputStream().read();
  }

  /**
   * As on a network that loses all: an open connection is silent and open, a new one never comes
   * up.
   */
  @Test
  void aCutIsSilentAndIsOverWhenItIsMended() throws IOException {
    try (Socket open = connect(LONG_MILLIS)) {
      assertEquals(1, said(open, 1));
      link.setState(FaultProxy.State.CUT, 0);
      assertThrows(SocketTimeoutException.class, () -> connect(SHORT_MILLIS));
      open.setSoTimeout(SHORT_MILLIS);
      assertThrows(SocketTimeoutException.class, () -> said(open, 2));
      link.setState(FaultProxy.State.OPEN, 0);
      open.setSoTimeout(LONG_MILLIS);
      assertEquals(2, open.getInputStream().read());
      try (Socket fresh = connect(LONG_MILLIS)) {
        assertEquals(3, said(fresh, 3));
      }
    }
  }

  /**
   * As a kernel forgets what it could not deliver when a connection is reset, and goes on after a
   * close.
   */
  @Test
  void whatWasResetBehindACutNeverArrivesAndWhatWasClosedDoes() throws Exception {
    Socket reset = connect(LONG_MILLIS);
    Socket closed = connect(LONG_MILLIS);
    assertEquals(1, said(reset, 1));
    assertEquals(2, said(closed, 2));
    link.setState(FaultProxy.State.CUT, 0);
    reset.getOutputStream().write(3);
    closed.getOutputStream().write(4);
    while (link.heldCount() < 2) {
      Thread.onSpinWait();
    }
    reset.setSoLinger(true, 0);
    reset.close();
    closed.close();
    link.setState(FaultProxy.State.OPEN, 0);
    assertEquals(List.of(1, 2, 4), List.of(heard.take(), heard.take(), heard.take()));
    try (Socket fresh = connect(LONG_MILLIS)) {
      assertEquals(5, said(fresh, 5));
      assertEquals(5, heard.take());
    }
  }

  /**
   * Who gives up by a reset while it is on its way has not sent it: nobody could tell when it came.
   */
  @Test
  void whatWasResetOnASlowWayNeverArrives() throws Exception {
    Socket reset = connect(LONG_MILLIS);
    assertEquals(1, said(reset, 1));
    link.setState(FaultProxy.State.SLOW, SHORT_MILLIS * 1_000_000L);
    reset.getOutputStream().write(3);
    reset.setSoLinger(true, 0);
    reset.close();
    try (Socket fresh = connect(LONG_MILLIS)) {
      assertEquals(5, said(fresh, 5));
      assertEquals(List.of(1, 5), List.of(heard.take(), heard.take()));
    }
  }

  /** What is asked has arrived, nothing comes back, and the connection ends. */
  @Test
  void aLostAnswerEndsTheConnection() throws IOException {
    try (Socket open = connect(LONG_MILLIS)) {
      assertEquals(1, said(open, 1));
      link.setState(FaultProxy.State.RESPONSE_LOST, 0);
      assertThrows(
          IOException.class,
          () -> {
            if (said(open, 2) < 0) {
              throw new IOException("ended");
            }
          });
    }
  }
}
