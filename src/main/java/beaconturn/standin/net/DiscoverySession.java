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

/** One connection of a router to discovery, in HTTP/1.1; one call at a time, as routers do it. */
final class DiscoverySession extends NonBlockingConnection implements DiscoveryModel.ResponseHandler {
  private static final int LONGEST_BODY = 4096;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final long MILLI = 1_000_000;
  private static final long LONGEST_WAIT_MILLIS = 60_000;
  private final DiscoveryModel discovery;
  private final int router;
  private final Function<DiscoveryModel.EndpointUpdate, Json> form;
  private final HttpReader reader = new HttpReader(LONGEST_BODY);
  private DiscoveryModel.Call call;

  /** The form is how a list looks to this router, whose addresses are its own. */
  DiscoverySession(
      EventLoop loop,
      SocketChannel channel,
      DiscoveryModel discovery,
      int router,
      Function<DiscoveryModel.EndpointUpdate, Json> form) {
    super(loop, channel);
    this.discovery = discovery;
    this.router = router;
    this.form = form;
  }

  @Override
  protected void parse(InputBuffer buffer) throws ProtocolException {
    for (HttpRequest r = reader.nextRequest(buffer); r != null; r = reader.nextRequest(buffer)) {
      request(r);
    }
  }

  private void request(HttpRequest request) throws ProtocolException {
    if (!request.method().equals("GET") || !request.path().equals("/registry/instances")) {
      write(HttpWriter.answer(NOT_FOUND, "{}"));
      return;
    }
    String after = request.parameter("after", "");
    if (after.isEmpty()) {
      call = discovery.fetch(router, this);
    } else {
      long wait = Math.min(LONGEST_WAIT_MILLIS, number(request.parameter("wait_ms", "0"))) * MILLI;
      call = discovery.watch(router, number(after), wait, this);
    }
  }

  private static long number(String digits) throws ProtocolException {
    if (!digits.matches("[0-9]{1,15}")) {
      throw new ProtocolException("not a whole number: " + digits);
    }
    return Long.parseLong(digits);
  }

  @Override
  public void succeeded(DiscoveryModel.EndpointUpdate update) {
    write(HttpWriter.answer(OK, JsonWriter.write(form.apply(update))));
  }

  @Override
  public void failed() {
    write(HttpWriter.answer(UNAVAILABLE, "{}"));
  }

  @Override
  protected void unreadable(String why) {
    write(HttpWriter.answer(NOT_FOUND, "{}"));
  }

  @Override
  protected void gone() {
    if (call != null) {
      call.cancel();
    }
  }
}
