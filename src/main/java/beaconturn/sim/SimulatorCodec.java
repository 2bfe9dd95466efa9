package beaconturn.sim;

import beaconturn.core.RouterSettingsReader;
import beaconturn.core.SettingsException;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingSettings;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The codes of the simulator's wire, and how its records become the decision module's events. */
final class SimulatorCodec {
  static final int BATCH_HEADER = 16;
  static final int REPLY_HEADER = 8;
  static final int LIST_ENTRY = 23;

  static final int UP = 1;
  static final int ROSTER_CHANGE = 2;
  static final int ARRIVAL = 3;
  static final int FIRST = 4;
  static final int CLOSED_ATTEMPT = 5;
  static final int WITHDRAWN = 6;
  static final int RING = 7;
  static final int PROBED = 8;
  static final int HEARD = 9;
  static final int EXIT = 10;
  static final int ON = 11;

  static final int STREAM_CHANGES = 1;
  static final int TEST = 2;
  static final int SHARE = 3;
  static final int SNAPSHOT = 4;
  static final int OVERLOAD_REPLY = 5;
  static final int WITHDRAW = 6;
  static final int RECORD = 7;
  static final int REMIND = 8;
  static final int CLOSE = 9;
  static final int SEND = 10;
  static final int GIVE_UP = 11;
  static final int AT = 12;
  static final int GIVE_IN = 13;

  static final int EVERY_PEER = 0xffff;

  private static final int CLIENT_RETRY = 2;
  private static final int HINT_VALID = 1;
  private static final int WRITE = 4;
  private static final long UNSIGNED_INT = 0xffffffffL;

  private static final AttemptOutcome[] ENDINGS = {
    AttemptOutcome.ERROR,
    AttemptOutcome.OK,
    AttemptOutcome.REJECTED,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.SUPERSEDED,
    AttemptOutcome.MISS
  };
  private static final CacheStatus[] NOTES = CacheStatus.values();
  private static final EndpointHealth[] HEALTHS = EndpointHealth.values();
  private static final EndpointListKind[] LIST_KINDS = EndpointListKind.values();
  private static final float[] NO_REPORT = {};

  /** How an instance begins: its random seed and its settings. */
  record Up(long seed, RoutingSettings settings) {}

  private SimulatorCodec() {}

  static RoutingEvent event(int code, ByteBuffer in, RoutingSettings settings)
      throws SimulatorProtocolException {
    return switch (code) {
      case ROSTER_CHANGE -> serverList(in);
      case ARRIVAL -> arrival(in, settings);
      case FIRST ->
          new RoutingEvent.ResponseStarted(request(in), in.getLong(), server(in), u16(in));
      case CLOSED_ATTEMPT -> closedAttempt(in);
      case WITHDRAWN -> new RoutingEvent.RequestCancelled(request(in));
      case RING -> new RoutingEvent.TimerFired(in.getLong());
      case PROBED -> probed(in);
      case HEARD -> new RoutingEvent.PeerMessageReceived(u16(in), bytes(in, u16(in)));
      default -> throw new SimulatorProtocolException("unknown event code " + code);
    };
  }

  static Up up(ByteBuffer in) throws SimulatorProtocolException {
    long seed = in.getLong();
    byte[] text = bytes(in, in.getInt());
    return new Up(seed, settings(new String(text, StandardCharsets.UTF_8)));
  }

  private static RoutingSettings settings(String text) throws SimulatorProtocolException {
    Map<String, String> values = new HashMap<>();
    for (String line : text.split("\n")) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
      }
    }
    try {
      return RouterSettingsReader.read(values).routing();
    } catch (SettingsException e) {
      throw new SimulatorProtocolException(e.getMessage());
    }
  }

  private static RoutingEvent.EndpointsUpdated serverList(ByteBuffer in)
      throws SimulatorProtocolException {
    long version = in.getLong();
    EndpointListKind kind = pick(LIST_KINDS, u8(in), "list mode");
    int count = in.getInt();
    if (count < 0 || count > in.remaining() / LIST_ENTRY) {
      throw new SimulatorProtocolException(
          "server list of " + count + " entries does not fit its batch");
    }
    List<Endpoint> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      entries.add(
          new Endpoint(
              server(in),
              u8(in),
              u8(in),
              u16(in),
              pick(HEALTHS, u8(in), "server health"),
              in.getFloat(),
              in.getLong()));
    }
    return new RoutingEvent.EndpointsUpdated(version, kind, entries);
  }

  private static RoutingEvent.RequestArrived arrival(ByteBuffer in, RoutingSettings settings)
      throws SimulatorProtocolException {
    long request = request(in);
    int tenant = in.getInt();
    long hint = in.getLong();
    long key = in.getLong();
    int requestClass = u8(in);
    long left = in.getLong();
    int options = u16(in);
    double size = in.getFloat();
    if (requestClass >= settings.classes().size()) {
      throw new SimulatorProtocolException("class " + requestClass + " out of range");
    }
    if (tenant != 0 && (tenant < 0 || tenant >= settings.tenants().size())) {
      throw new SimulatorProtocolException("tenant " + tenant + " out of range");
    }
    return new RoutingEvent.RequestArrived(
        request,
        tenant,
        (options & HINT_VALID) != 0 ? hint : 0,
        key,
        requestClass,
        left,
        (options & CLIENT_RETRY) != 0,
        (options & WRITE) != 0,
        size);
  }

  private static RoutingEvent.AttemptClosed closedAttempt(ByteBuffer in)
      throws SimulatorProtocolException {
    return new RoutingEvent.AttemptClosed(
        request(in),
        in.getLong(),
        u8(in) != 0,
        server(in),
        pick(ENDINGS, u8(in), "attempt state"),
        pick(NOTES, u8(in), "remark"),
        u16(in),
        report(in));
  }

  private static RoutingEvent.ProbeCompleted probed(ByteBuffer in)
      throws SimulatorProtocolException {
    return new RoutingEvent.ProbeCompleted(
        server(in), pick(ENDINGS, u8(in), "probe state"), in.getLong(), report(in));
  }

  private static <T> T pick(T[] from, int index, String what) throws SimulatorProtocolException {
    if (index >= from.length) {
      throw new SimulatorProtocolException("unknown " + what + " " + index);
    }
    return from[index];
  }

  private static float[] report(ByteBuffer in) {
    int count = u8(in);
    if (count == 0) {
      return NO_REPORT;
    }
    float[] values = new float[count];
    for (int i = 0; i < count; i++) {
      values[i] = in.getFloat();
    }
    return values;
  }

  private static byte[] bytes(ByteBuffer in, int count) {
    if (count < 0 || count > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] body = new byte[count];
    in.get(body);
    return body;
  }

  private static int u8(ByteBuffer in) {
    return in.get() & 0xff;
  }

  private static int u16(ByteBuffer in) {
    return in.getShort() & 0xffff;
  }

  private static long request(ByteBuffer in) {
    return in.getInt() & UNSIGNED_INT;
  }

  /**
   * Four address bytes, first byte first, then the port: packed so that {@link #putServer} can undo
   * it.
   */
  private static long server(ByteBuffer in) {
    long address = Integer.reverseBytes(in.getInt()) & UNSIGNED_INT;
    return address << 16 | u16(in);
  }

  static void putServer(ByteBuffer out, long server) {
    out.putInt(Integer.reverseBytes((int) (server >>> 16)));
    out.putShort((short) server);
  }

  static ByteBuffer little(byte[] bytes) {
    return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }
}
