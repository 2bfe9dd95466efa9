package beaconturn.net.discovery;

import beaconturn.net.io.Sockets;
import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpResponse;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * An HTTP client of discovery at one address, over one persistent connection. For one thread,
 * except {@link #shutDown}.
 */
final class DiscoveryClient {
  private static final int MAX_BODY_BYTES = 1 << 22;
  private static final int STATUS_OK = 200;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final InetSocketAddress address;

  /** Received but unparsed bytes of the open connection. Confined to the calling thread. */
  private InputBuffer input;

  // Guarded by this:
  private Socket socket;
  private boolean shutDown;

  DiscoveryClient(InetSocketAddress address) {
    this.address = address;
  }

  InetSocketAddress address() {
    return address;
  }

  /**
   * Sends a GET request and returns the body of the response. Closes the connection on any error.
   *
   * @param timeoutMillis the time for connecting and the response
   * @param outlastsTimeout asked when that time is over: whether to wait as long again for the
   *     response
   * @throws SocketTimeoutException if the response is not received in time, connecting included
   * @throws IOException if the connection fails or the status is not 200
   * @throws ProtocolException if the response is not HTTP/1.1
   */
  Slice get(String path, int timeoutMillis, BooleanSupplier outlastsTimeout)
      throws IOException, ProtocolException {
    boolean keepOpen = false;
    try {
      long deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
      Socket open = connected(timeoutMillis);
      String host = address.getHostString() + ":" + address.getPort();
      Sockets.write(open.getOutputStream(), List.of(HttpWriter.get(path, host)));
      HttpResponse response = awaitResponse(open, deadlineNanos, timeoutMillis, outlastsTimeout);
      keepOpen = response.keepAlive() && input.size() == 0;
      if (response.status() != STATUS_OK) {
        throw new IOException("discovery returned HTTP status " + response.status());
      }
      return response.body();
    } finally {
      if (!keepOpen) {
        close();
      }
    }
  }

  /** Aborts the open call and fails all later ones. Any thread. */
  synchronized void shutDown() {
    shutDown = true;
    close();
  }

  private Socket connected(int timeoutMillis) throws IOException {
    Socket fresh = new Socket();
    synchronized (this) {
      if (socket != null) {
        return socket;
      }
      if (shutDown) {
        throw new IOException("discovery client for " + address + " is shut down");
      }
      socket = fresh;
    }
    // Connect outside the lock, so that shutDown does not wait for the connection.
    input = new InputBuffer();
    fresh.setTcpNoDelay(true);
    fresh.connect(address, timeoutMillis);
    return fresh;
  }

  private HttpResponse awaitResponse(
      Socket from, long firstDeadlineNanos, int timeoutMillis, BooleanSupplier outlastsTimeout)
      throws IOException, ProtocolException {
    HttpReader reader = new HttpReader(MAX_BODY_BYTES);
    long deadlineNanos = firstDeadlineNanos;
    while (true) {
      try {
        return readResponse(from, reader, deadlineNanos);
      } catch (SocketTimeoutException e) {
        if (!outlastsTimeout.getAsBoolean()) {
          throw e;
        }
        deadlineNanos += timeoutMillis * NANOS_PER_MILLI;
      }
    }
  }

  private HttpResponse readResponse(Socket from, HttpReader reader, long deadlineNanos)
      throws IOException, ProtocolException {
    HttpResponse response = null;
    boolean open = true;
    while (response == null && open) {
      long leftMillis = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
      if (leftMillis <= 0) {
        throw new SocketTimeoutException("discovery response timed out");
      }
      from.setSoTimeout((int) leftMillis);
      open = Sockets.read(from.getInputStream(), input);
      response = reader.next(input, !open);
    }
    if (response == null) {
      throw new IOException("connection closed before the response was complete");
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
