package beaconturn.sim;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingSettings;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Decodes the simulator's records into events of the routing policy. */
final class SimulatorCodec {
  private static final int ENDPOINT_BYTES = 23;

  /** Bits of the options field of a request. */
  private static final int WORK_HINT_VALID = 1;

  private static final int CLIENT_RETRY = 2;
  private static final int WRITE = 4;

  private static final List<AttemptOutcome> OUTCOMES_BY_CODE =
      List.of(
          AttemptOutcome.ERROR,
          AttemptOutcome.OK,
          AttemptOutcome.REJECTED,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET,
          AttemptOutcome.CANCELLED,
          AttemptOutcome.SUPERSEDED,
          AttemptOutcome.MISS);

  private static final List<CacheStatus> CACHE_STATUSES_BY_CODE =
      List.of(CacheStatus.NONE, CacheStatus.HIT, CacheStatus.MISS, CacheStatus.MISS_FETCHING);

  private static final List<EndpointHealth> HEALTHS_BY_CODE =
      List.of(EndpointHealth.GONE, EndpointHealth.READY, EndpointHealth.DRAINING);

  private static final List<EndpointListKind> LIST_KINDS_BY_CODE =
      List.of(
          EndpointListKind.DELTA,
          EndpointListKind.FULL,
          EndpointListKind.CACHED,
          EndpointListKind.FAILED);

  private SimulatorCodec() {}

  /** Decodes the body of an event for a running instance. */
  static RoutingEvent event(int code, ByteBuffer in, RoutingSettings settings)
      throws SimulatorProtocolException {
    return switch (code) {
      case EventCode.ENDPOINTS_UPDATED -> endpointsUpdated(in);
      case EventCode.REQUEST_ARRIVED -> requestArrived(in, settings);
      case EventCode.RESPONSE_STARTED -> responseStarted(in);
      case EventCode.ATTEMPT_CLOSED -> attemptClosed(in);
      case EventCode.REQUEST_CANCELLED ->
          new RoutingEvent.RequestCancelled(WireFields.requestId(in));
      case EventCode.TIMER_FIRED -> new RoutingEvent.TimerFired(in.getLong());
      case EventCode.PROBE_COMPLETED -> probeCompleted(in);
      case EventCode.PEER_MESSAGE -> peerMessageReceived(in);
      default -> throw new SimulatorProtocolException("unknown event code " + code);
    };
  }

  private static RoutingEvent.EndpointsUpdated endpointsUpdated(ByteBuffer in)
      throws SimulatorProtocolException {
    long version = in.getLong();
    EndpointListKind kind = byCode(LIST_KINDS_BY_CODE, in, "endpoint list kind");
    int count = in.getInt();
    if (count < 0 || count > in.remaining() / ENDPOINT_BYTES) {
      throw new SimulatorProtocolException(
          "endpoint list of " + count + " entries does not fit in its batch");
    }
    List<Endpoint> endpoints = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      endpoints.add(endpoint(in));
    }
    return new RoutingEvent.EndpointsUpdated(version, kind, endpoints);
  }

  private static Endpoint endpoint(ByteBuffer in) throws SimulatorProtocolException {
    long serverId = WireFields.serverId(in);
    int zone = WireFields.unsignedByte(in);
    int kind = WireFields.unsignedByte(in);
    int cell = WireFields.unsignedShort(in);
    EndpointHealth health = byCode(HEALTHS_BY_CODE, in, "server health");
    double rating = in.getFloat();
    long bootTimeNanos = in.getLong();
    return new Endpoint(serverId, zone, kind, cell, health, rating, bootTimeNanos);
  }

  private static RoutingEvent.RequestArrived requestArrived(ByteBuffer in, RoutingSettings settings)
      throws SimulatorProtocolException {
    long requestId = WireFields.requestId(in);
    int tenant = in.getInt();
    long workHintNanos = in.getLong();
    long key = in.getLong();
    int requestClass = WireFields.unsignedByte(in);
    long remainingNanos = in.getLong();
    int options = WireFields.unsignedShort(in);
    double size = in.getFloat();
    if (requestClass >= settings.classes().size()) {
      throw new SimulatorProtocolException("request class " + requestClass + " out of range");
    }
    if (tenant != 0 && (tenant < 0 || tenant >= settings.tenants().size())) {
      throw new SimulatorProtocolException("tenant " + tenant + " out of range");
    }
    return new RoutingEvent.RequestArrived(
        requestId,
        tenant,
        (options & WORK_HINT_VALID) != 0 ? workHintNanos : 0,
        key,
        requestClass,
        remainingNanos,
        (options & CLIENT_RETRY) != 0,
        (options & WRITE) != 0,
        size);
  }

  private static RoutingEvent.ResponseStarted responseStarted(ByteBuffer in) {
    long requestId = WireFields.requestId(in);
    long elapsedNanos = in.getLong();
    long serverId = WireFields.serverId(in);
    int attempt = WireFields.unsignedShort(in);
    return new RoutingEvent.ResponseStarted(requestId, elapsedNanos, serverId, attempt);
  }

  private static RoutingEvent.AttemptClosed attemptClosed(ByteBuffer in)
      throws SimulatorProtocolException {
    long requestId = WireFields.requestId(in);
    long elapsedNanos = in.getLong();
    boolean requestClosed = WireFields.unsignedByte(in) != 0;
    long serverId = WireFields.serverId(in);
    AttemptOutcome outcome = byCode(OUTCOMES_BY_CODE, in, "attempt outcome");
    CacheStatus cacheStatus = byCode(CACHE_STATUSES_BY_CODE, in, "cache status");
    int attempt = WireFields.unsignedShort(in);
    float[] loadReport = WireFields.loadReport(in);
    return new RoutingEvent.AttemptClosed(
        requestId,
        elapsedNanos,
        requestClosed,
        serverId,
        outcome,
        cacheStatus,
        attempt,
        loadReport);
  }

  private static RoutingEvent.ProbeCompleted probeCompleted(ByteBuffer in)
      throws SimulatorProtocolException {
    long serverId = WireFields.serverId(in);
    AttemptOutcome outcome = byCode(OUTCOMES_BY_CODE, in, "probe outcome");
    long elapsedNanos = in.getLong();
    float[] loadReport = WireFields.loadReport(in);
    return new RoutingEvent.ProbeCompleted(serverId, outcome, elapsedNanos, loadReport);
  }

  private static RoutingEvent.PeerMessageReceived peerMessageReceived(ByteBuffer in) {
    int from = WireFields.unsignedShort(in);
    int length = WireFields.unsignedShort(in);
    return new RoutingEvent.PeerMessageReceived(from, WireFields.bytes(in, length));
  }

  /** Reads a one-byte code; {@code fieldName} names the field in the error. */
  private static <T> T byCode(List<T> values, ByteBuffer in, String fieldName)
      throws SimulatorProtocolException {
    int code = WireFields.unsignedByte(in);
    if (code >= values.size()) {
      throw new SimulatorProtocolException("unknown " + fieldName + " " + code);
    }
    return values.get(code);
  }
}
