package beaconturn.standin.net;

import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpRequest;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.protocol.ProtocolException;
import beaconturn.standin.DiscoveryModel;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/**
 * One connection of a router to discovery over HTTP/1.1. Routers send the next call only after the
 * reply to the last one.
 */
final class DiscoverySession extends NonBlockingConnection
    implements DiscoveryModel.ResponseHandler {
  private static final int MAX_BODY_BYTES = 4096;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private final DiscoveryModel discovery;
  private final int router;
  private final Function<DiscoveryModel.EndpointUpdate, Json> encoder;
  private final HttpReader reader = new HttpReader(MAX_BODY_BYTES);
  private DiscoveryModel.Call call;

  /**
   * Creates the session of a connection.
   *
   * @param encoder encodes an endpoint update with the addresses that the router connects to
   */
  DiscoverySession(
      EventLoop loop,
      SocketChannel channel,
      DiscoveryModel discovery,
      int router,
      Function<DiscoveryModel.EndpointUpdate, Json> encoder) {
    super(loop, channel);
    this.discovery = discovery;
    this.router = router;
    this.encoder = encoder;
  }

  @Override
  protected void parse(InputBuffer buffer) throws ProtocolException {
    for (HttpRequest r = reader.nextRequest(buffer); r != null; r = reader.nextRequest(buffer)) {
      handle(r);
    }
  }

  private void handle(HttpRequest request) throws ProtocolException {
    if (!request.method().equals("GET") || !request.path().equals("/registry/instances")) {
      write(HttpWriter.response(NOT_FOUND, "{}"));
      return;
    }
    String after = request.parameter("after", "");
    if (after.isEmpty()) {
      call = discovery.fetch(router, this);
    } else {
      long waitNanos =
          Math.min(MAX_WAIT_MILLIS, wholeNumber(request.parameter("wait_ms", "0")))
              * NANOS_PER_MILLI;
      call = discovery.watch(router, wholeNumber(after), waitNanos, this);
    }
  }

  private static long wholeNumber(String digits) throws ProtocolException {
    if (!digits.matches("[0-9]{1,15}")) {
      throw new ProtocolException("not a whole number: " + digits);
    }
    return Long.parseLong(digits);
  }

  @Override
  public void succeeded(DiscoveryModel.EndpointUpdate update) {
    write(HttpWriter.response(OK, JsonWriter.write(encoder.apply(update))));
  }

  @Override
  public void failed() {
    write(HttpWriter.response(UNAVAILABLE, "{}"));
  }

  @Override
  protected void invalidInput(String reason) {
    write(HttpWriter.response(NOT_FOUND, "{}"));
  }

  @Override
  protected void connectionClosed() {
    if (call != null) {
      call.cancel();
    }
  }
}
