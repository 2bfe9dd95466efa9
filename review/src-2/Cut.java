import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * The network to one cache server. While it is cut, open connections stay open and silent, and new
 * ones never come up; when it is back, what was under way arrives, as TCP sends it again, unless its
 * sender has reset the connection.
 */
final class Cut {
  private static final int BACKLOG = 8;

  private final ServerSocket listener;
  private final int target;
  private final List<Socket> fillers = new ArrayList<>();
  private boolean cut;

  Cut(Kit2.CacheServer server) throws IOException {
    this.target = server.listener.getLocalPort();
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    listener.setSoTimeout(20);
    Kit2.start("cut-" + server.name, this::accept);
  }

  String dial() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Cuts the network; connections that fill the queue of the listener keep others from coming up. */
  void begin() {
    synchronized (this) {
      cut = true;
    }
    Kit2.start(
        "fill",
        () -> {
          for (int i = 0; i < BACKLOG + 3 && isCut(); i++) {
            Socket filler = new Socket();
            try {
              filler.connect(new InetSocketAddress("127.0.0.1", listener.getLocalPort()), 100);
              synchronized (fillers) {
                fillers.add(filler);
              }
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  void end() {
    // What has come up in the queue meanwhile is reset: its bytes must not arrive.
    try {
      while (true) {
        reset(listener.accept());
      }
    } catch (SocketTimeoutException e) {
      Kit2.log("no connection came up during the cut that is still open");
    } catch (IOException e) {
      Kit2.log("cut: " + e);
    }
    synchronized (fillers) {
      for (Socket filler : fillers) {
        try {
          filler.close();
        } catch (IOException e) {
          continue;
        }
      }
      fillers.clear();
    }
    synchronized (this) {
      cut = false;
      notifyAll();
    }
  }

  private synchronized boolean isCut() {
    return cut;
  }

  private synchronized void awaitNetwork() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  private void accept() {
    while (true) {
      try {
        awaitNetwork();
        Socket from = listener.accept();
        from.setTcpNoDelay(true);
        if (isCut()) {
          from.setSoLinger(true, 0);
          from.close();
          continue;
        }
        Socket to = new Socket();
        to.setTcpNoDelay(true);
        to.connect(new InetSocketAddress("127.0.0.1", target));
        Kit2.start("pump", () -> pump(from, to));
        Kit2.start("pump", () -> pump(to, from));
      } catch (SocketTimeoutException e) {
        continue;
      } catch (IOException e) {
        Kit2.log("cut: " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      // What has arrived is passed on when there is a network; the rest waits in the kernel.
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (isCut()) {
          awaitNetwork();
          count += readMore(from, in, buffer, count);
        }
        out.write(buffer, 0, count);
        out.flush();
      }
      awaitNetwork();
      to.shutdownOutput();
    } catch (IOException | InterruptedException e) {
      reset(from);
      reset(to);
    }
  }

  /** Reads what else has come; fails if the sender has reset the connection, which sends nothing again. */
  private static int readMore(Socket from, InputStream in, byte[] buffer, int count) throws IOException {
    from.setSoTimeout(1);
    try {
      return count == buffer.length ? 0 : Math.max(0, in.read(buffer, count, buffer.length - count));
    } catch (SocketTimeoutException e) {
      return 0;
    } finally {
      from.setSoTimeout(0);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      return;
    }
  }
}
