package beaconturn.net.discovery;

import beaconturn.net.io.Sockets;
import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpResponse;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;

/**
 * Calls discovery at one address over one kept connection; for one thread, but for {@link
 * #abandon}.
 */
final class DiscoveryClient {
  private static final int LONGEST_BODY = 1 << 22;
  private static final int CONNECT_MILLIS = 1000;
  private static final int OK = 200;
  private final InetSocketAddress address;
  private InputBuffer in;
  // Guarded by this:
  private Socket socket;
  private boolean abandoned;

  DiscoveryClient(InetSocketAddress address) {
    this.address = address;
  }

  /**
   * The body of a successful answer; anything else is an exception, and the connection is closed.
   *
   * @throws SocketTimeoutException if the connection is up and no whole answer comes in time
   */
  Slice get(String path, int timeoutMillis) throws IOException, ProtocolException {
    boolean keep = false;
    try {
      Socket open = connected();
      String host = address.getHostString() + ":" + address.getPort();
      Sockets.write(open.getOutputStream(), List.of(HttpWriter.get(path, host)));
      HttpResponse response = answer(open, System.nanoTime() + timeoutMillis * 1_000_000L);
      keep = response.keepAlive() && in.size() == 0;
      if (response.status() != OK) {
        throw new IOException("status " + response.status());
      }
      return response.body();
    } finally {
      if (!keep) {
        close();
      }
    }
  }

  /** Ends the open call and fails all later ones; for any thread. */
  synchronized void abandon() {
    abandoned = true;
    close();
  }

  private Socket connected() throws IOException {
    Socket fresh = new Socket();
    synchronized (this) {
      if (socket != null) {
        return socket;
      }
      if (abandoned) {
        throw new IOException("this address is not asked any more");
      }
      socket = fresh;
    }
    // Outside the lock: whoever abandons this client must not wait for a connection to come up.
    in = new InputBuffer();
    fresh.setTcpNoDelay(true);
    try {
      fresh.connect(address, CONNECT_MILLIS);
    } catch (SocketTimeoutException e) {
      throw new ConnectException("the connection does not come up");
    }
    return fresh;
  }

  private HttpResponse answer(Socket from, long until) throws IOException, ProtocolException {
    HttpReader reader = new HttpReader(LONGEST_BODY);
    HttpResponse response = null;
    boolean more = true;
    while (response == null && more) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        throw new SocketTimeoutException("no answer in time");
      }
      from.setSoTimeout((int) left);
      more = Sockets.read(from.getInputStream(), in);
      response = reader.next(in, !more);
    }
    if (response == null) {
      throw new IOException("connection ended before the answer");
    }
    return response;
  }

  private synchronized void close() {
    if (socket != null) {
      Sockets.close(socket);
      socket = null;
    }
  }
}
