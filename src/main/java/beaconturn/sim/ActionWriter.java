package beaconturn.sim;

import beaconturn.decision.GiveUpReason;
import beaconturn.decision.RoutingActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Encodes the actions of one reply in the simulator's wire format. Consecutive actions of an
 * instance follow one record that names it.
 */
final class ActionWriter {
  private static final int INITIAL_CAPACITY_BYTES = 1 << 16;

  /** Number of records and number of record bytes, 4 bytes each. */
  private static final int HEADER_BYTES = 8;

  private static final int HEADER_RECORDS_OFFSET = 0;
  private static final int HEADER_LENGTH_OFFSET = 4;

  /** A record that names an instance, and the code of the next record. */
  private static final int RECORD_START_BYTES = 6;

  private static final int REQUEST_BYTES = 4;
  private static final int SERVER_BYTES = 6;
  private static final int ATTEMPT_BYTES = 2;
  private static final int TIME_BYTES = 8;
  private static final int TOKEN_BYTES = 8;
  private static final int PEER_BYTES = 2;
  private static final int LENGTH_BYTES = 2;
  private static final int MAX_TEXT_BYTES = 400;
  private static final int ALL_PEERS = 0xffff;
  private static final int NO_INSTANCE = -1;

  private ByteBuffer out = WireFields.littleEndian(new byte[INITIAL_CAPACITY_BYTES]);
  private int records;
  private int currentInstance = NO_INSTANCE;

  /** Starts an empty reply. */
  void begin() {
    out.clear();
    out.position(HEADER_BYTES);
    records = 0;
    currentInstance = NO_INSTANCE;
  }

  /** Completes the header and writes the reply. */
  void finish(OutputStream to) throws IOException {
    out.putInt(HEADER_RECORDS_OFFSET, records);
    out.putInt(HEADER_LENGTH_OFFSET, out.position() - HEADER_BYTES);
    to.write(out.array(), 0, out.position());
    to.flush();
  }

  /** Returns a receiver for the actions of one instance. */
  RoutingActions actionsOf(int instance) {
    return new InstanceActions(instance);
  }

  /** Reports that the routing policy of the instance failed. */
  void fault(int instance, String text) {
    startRecord(instance, ActionCode.FAULT, LENGTH_BYTES + MAX_TEXT_BYTES);
    putText(text);
  }

  private void startRecord(int instance, int code, int bodyBytes) {
    ensureRemaining(RECORD_START_BYTES + bodyBytes);
    if (instance != currentInstance) {
      out.put((byte) ActionCode.INSTANCE_SELECTED).putInt(instance);
      currentInstance = instance;
      records++;
    }
    out.put((byte) code);
    records++;
  }

  private void ensureRemaining(int bytes) {
    if (out.remaining() < bytes) {
      int capacityBytes = Math.max(out.capacity() * 2, out.position() + bytes);
      ByteBuffer larger = WireFields.littleEndian(new byte[capacityBytes]);
      out.flip();
      larger.put(out);
      out = larger;
    }
  }

  private void putText(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, MAX_TEXT_BYTES);
    out.putShort((short) length).put(bytes, 0, length);
  }

  private final class InstanceActions implements RoutingActions {
    private final int instance;

    InstanceActions(int instance) {
      this.instance = instance;
    }

    private ByteBuffer startAction(int code, int bodyBytes) {
      startRecord(instance, code, bodyBytes);
      return out;
    }

    @Override
    public void send(long requestId, long serverId, long timeoutNanos) {
      startAction(ActionCode.SEND, REQUEST_BYTES + SERVER_BYTES + TIME_BYTES)
          .putInt((int) requestId);
      WireFields.putServerId(out, serverId);
      out.putLong(timeoutNanos);
    }

    @Override
    public void cancel(long requestId, int attempt) {
      startAction(ActionCode.CANCEL, REQUEST_BYTES + ATTEMPT_BYTES)
          .putInt((int) requestId)
          .putShort((short) attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterNanos, GiveUpReason reason) {
      startAction(ActionCode.REJECT, REQUEST_BYTES + TIME_BYTES)
          .putInt((int) requestId)
          .putLong(retryAfterNanos);
    }

    @Override
    public void fail(long requestId, GiveUpReason reason) {
      startAction(ActionCode.FAIL, REQUEST_BYTES).putInt((int) requestId);
    }

    @Override
    public void setTimer(long delayNanos, long token) {
      startAction(ActionCode.SET_TIMER, TIME_BYTES + TOKEN_BYTES)
          .putLong(delayNanos)
          .putLong(token);
    }

    @Override
    public void watchEndpoints(boolean on) {
      startAction(ActionCode.WATCH_ENDPOINTS, 1).put((byte) (on ? 1 : 0));
    }

    @Override
    public void fetchEndpoints() {
      startAction(ActionCode.FETCH_ENDPOINTS, 0);
    }

    @Override
    public void probe(long serverId) {
      startAction(ActionCode.PROBE, SERVER_BYTES);
      WireFields.putServerId(out, serverId);
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
      startAction(ActionCode.PEER_MESSAGE, PEER_BYTES + LENGTH_BYTES + body.length)
          .putShort((short) (peer < 0 ? ALL_PEERS : peer))
          .putShort((short) body.length)
          .put(body);
    }

    @Override
    public void closeIdleConnections(long serverId) {
      startAction(ActionCode.CLOSE_IDLE, SERVER_BYTES);
      WireFields.putServerId(out, serverId);
    }

    @Override
    public void log(String text) {
      startAction(ActionCode.LOG, LENGTH_BYTES + MAX_TEXT_BYTES);
      putText(text);
    }
  }
}
