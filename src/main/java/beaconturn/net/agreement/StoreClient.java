package beaconturn.net.agreement;

import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpResponse;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.JsonWriter;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;

/**
 * Client of an etcd v3 store through its HTTP/JSON gateway. It sends one request at a time over a
 * persistent connection, and fails over to the next member of the store after a failed request.
 * Blocking; not thread-safe.
 */
public final class StoreClient implements CoordinationStore {
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int STATUS_OK = 200;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final List<InetSocketAddress> members;
  private final int timeoutMillis;

  /** Index of the member that requests are sent to. */
  private int memberIndex;

  private Socket socket;
  private InputBuffer input;

  /** Creates a client; a request fails after the timeout. */
  public StoreClient(List<InetSocketAddress> members, long timeoutNanos) {
    this.members = List.copyOf(members);
    this.timeoutMillis = (int) Math.max(1, timeoutNanos / NANOS_PER_MILLI);
  }

  @Override
  public StoreResponse ask(StoreRequest request) {
    try {
      return EtcdCodec.response(request, post(EtcdCodec.path(request), EtcdCodec.body(request)));
    } catch (SocketTimeoutException e) {
      return failed("no reply within " + timeoutMillis + " ms");
    } catch (IOException | ProtocolException | NumberFormatException e) {
      return failed(e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
    }
  }

  private StoreResponse failed(String reason) {
    close();
    memberIndex = (memberIndex + 1) % members.size();
    return new StoreResponse.RequestFailed(reason);
  }

  /** Closes the connection; the next request opens a new one. */
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // The socket is dropped in any case.
        input = null;
      }
      socket = null;
    }
  }

  private Json post(String path, Json body) throws IOException, ProtocolException {
    long deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
    InetSocketAddress address = members.get(memberIndex);
    if (socket == null) {
      connect(address);
    }
    String host = address.getHostString() + ":" + address.getPort();
    Slice request = HttpWriter.post(path, host, JsonWriter.write(body));
    OutputStream output = socket.getOutputStream();
    output.write(request.array(), request.from(), request.length());
    HttpResponse response = read(deadlineNanos);
    if (!response.keepAlive() || input.size() > 0) {
      close();
    }
    Json json = JsonReader.read(response.body());
    if (response.status() != STATUS_OK) {
      String message = json.get("message").asText(json.get("error").asText(""));
      throw new IOException("store replied with HTTP status " + response.status() + ": " + message);
    }
    return json;
  }

  private void connect(InetSocketAddress address) throws IOException {
    input = new InputBuffer();
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(address, timeoutMillis);
  }

  private HttpResponse read(long deadlineNanos) throws IOException, ProtocolException {
    HttpReader reader = new HttpReader(MAX_BODY_BYTES);
    boolean open = true;
    while (open) {
      long remainingMillis = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI;
      if (remainingMillis <= 0) {
        break;
      }
      socket.setSoTimeout((int) remainingMillis);
      int capacityBytes = input.ensureRoom();
      int readBytes = socket.getInputStream().read(input.array(), input.end(), capacityBytes);
      open = readBytes >= 0;
      input.filled(Math.max(0, readBytes));
      HttpResponse response = reader.next(input, !open);
      if (response != null) {
        return response;
      }
    }
    throw new IOException(
        open
            ? "no reply within " + timeoutMillis + " ms"
            : "store closed the connection before its reply");
  }
}
