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
 * An HTTP client of discovery at one address, over one connection that is kept. For one thread, but
 * for {@link #abandon}.
 */
final class DiscoveryClient {
  private static final int LONGEST_BODY_BYTES = 1 << 22;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int STATUS_OK = 200;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final InetSocketAddress address;

  /** What came on the open connection and is not parsed yet; for the calling thread alone. */
  private InputBuffer input;

  // Guarded by this:
  private Socket socket;
  private boolean abandoned;

  DiscoveryClient(InetSocketAddress address) {
    this.address = address;
  }

  /**
   * The body of a successful response; the connection is closed where an exception is thrown.
   *
   * @throws SocketTimeoutException if the connection is up and no whole response comes in time
   * @throws IOException if the connection fails, or the status is not 200
   * @throws ProtocolException if the response is not HTTP/1.1
   */
  Slice get(String path, int timeoutMillis) throws IOException, ProtocolException {
    boolean keepOpen = false;
    try {
      Socket open = connected();
      String host = address.getHostString() + ":" + address.getPort();
      Sockets.write(open.getOutputStream(), List.of(HttpWriter.get(path, host)));
      HttpResponse response =
          readResponse(open, System.nanoTime() + timeoutMillis * NANOS_PER_MILLI);
      keepOpen = response.keepAlive() && input.size() == 0;
      if (response.status() != STATUS_OK) {
        throw new IOException("status " + response.status());
      }
      return response.body();
    } finally {
      if (!keepOpen) {
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
    input = new InputBuffer();
    fresh.setTcpNoDelay(true);
    try {
      fresh.connect(address, CONNECT_TIMEOUT_MILLIS);
    } catch (SocketTimeoutException e) {
      // Another type, as a timeout means that the connection is up and the response is missing.
      throw new ConnectException("the connection does not come up");
    }
    return fresh;
  }

  private HttpResponse readResponse(Socket from, long untilNanos)
      throws IOException, ProtocolException {
    HttpReader reader = new HttpReader(LONGEST_BODY_BYTES);
    HttpResponse response = null;
    boolean more = true;
    while (response == null && more) {
      long leftMillis = (untilNanos - System.nanoTime()) / NANOS_PER_MILLI;
      if (leftMillis <= 0) {
        throw new SocketTimeoutException("no answer in time");
      }
      from.setSoTimeout((int) leftMillis);
      more = Sockets.read(from.getInputStream(), input);
      response = reader.next(input, !more);
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
