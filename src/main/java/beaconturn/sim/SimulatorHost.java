package beaconturn.sim;

import beaconturn.decision.RingRouter;
import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingPolicy;
import beaconturn.decision.RoutingSettings;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Hosts the routing policies of many simulated routers: reads batches of events, hands each event
 * to its instance, and answers every batch with one reply. One thread calls.
 */
public final class SimulatorHost {
  /** The time, the length of the records in bytes, and their number. */
  private static final int HEADER_BYTES = 16;

  private static final int HEADER_TIME_OFFSET = 0;
  private static final int HEADER_LENGTH_OFFSET = 8;
  private static final int HEADER_COUNT_OFFSET = 12;
  private static final int INITIAL_CAPACITY_BYTES = 1 << 16;
  private static final int NO_INSTANCE = -1;

  private final InputStream in;
  private final OutputStream out;
  private final ActionWriter reply = new ActionWriter();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final byte[] headerBytes = new byte[HEADER_BYTES];
  private final ByteBuffer header = WireFields.littleEndian(headerBytes);
  private byte[] body = new byte[INITIAL_CAPACITY_BYTES];
  private long batches;

  /** One simulated router and the settings that it was started with. */
  private record Instance(RoutingSettings settings, RoutingPolicy policy) {}

  /** A host on the given streams. */
  public SimulatorHost(InputStream in, OutputStream out) {
    this.in = in;
    this.out = out;
  }

  /**
   * Serves until the input ends between two batches.
   *
   * @throws SimulatorProtocolException if the input does not follow the wire
   */
  public void run() throws IOException, SimulatorProtocolException {
    while (readBatch()) {
      reply.begin();
      handleBatch(
          header.getLong(HEADER_TIME_OFFSET),
          header.getInt(HEADER_LENGTH_OFFSET),
          header.getInt(HEADER_COUNT_OFFSET));
      reply.finish(out);
      batches++;
    }
  }

  private boolean readBatch() throws IOException, SimulatorProtocolException {
    int read = in.readNBytes(headerBytes, 0, HEADER_BYTES);
    if (read == 0) {
      return false;
    }
    int length = header.getInt(HEADER_LENGTH_OFFSET);
    if (read < HEADER_BYTES) {
      throw new SimulatorProtocolException("batch " + batches + ": input ends inside the header");
    }
    if (length < 0) {
      throw new SimulatorProtocolException("batch " + batches + ": unreadable length " + length);
    }
    if (length > body.length) {
      body = new byte[length + length / 2];
    }
    if (in.readNBytes(body, 0, length) < length) {
      throw new SimulatorProtocolException("batch " + batches + ": input ends inside the records");
    }
    return true;
  }

  private void handleBatch(long nowNanos, int length, int count) throws SimulatorProtocolException {
    ByteBuffer records = WireFields.littleEndian(body);
    records.limit(length);
    int instance = NO_INSTANCE;
    int recordStart = 0;
    try {
      for (int i = 0; i < count; i++) {
        recordStart = records.position();
        int code = WireFields.unsignedByte(records);
        if (code == EventCode.INSTANCE_SELECTED) {
          instance = records.getInt();
        } else {
          handleRecord(nowNanos, instance, code, records);
        }
      }
    } catch (BufferUnderflowException e) {
      throw malformed(recordStart, "record runs past the end");
    } catch (SimulatorProtocolException e) {
      throw malformed(recordStart, e.getMessage());
    }
    if (records.hasRemaining()) {
      String rest = records.remaining() + " bytes left after " + count + " records";
      throw malformed(records.position(), rest);
    }
  }

  private SimulatorProtocolException malformed(int position, String what) {
    return new SimulatorProtocolException("batch " + batches + ", byte " + position + ": " + what);
  }

  private void handleRecord(long nowNanos, int id, int code, ByteBuffer records)
      throws SimulatorProtocolException {
    if (code == EventCode.INSTANCE_STARTED) {
      InstanceStart start = InstanceStart.read(records);
      RoutingPolicy policy =
          new RingRouter(start.settings(), start.seed(), nowNanos, reply.actionsOf(id));
      instances.put(id, new Instance(start.settings(), policy));
      return;
    }
    Instance instance = instances.get(id);
    if (instance == null) {
      throw new SimulatorProtocolException(
          "event " + code + " for instance " + id + ", which is not up");
    }
    if (code == EventCode.INSTANCE_STOPPED) {
      instances.remove(id);
      return;
    }
    deliver(nowNanos, id, instance, SimulatorCodec.event(code, records, instance.settings()));
  }

  /** What fails in the policy ends one instance's event and not the host. */
  private void deliver(long nowNanos, int id, Instance instance, RoutingEvent event) {
    try {
      instance.policy().handle(nowNanos, event);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      String origin = trace.length > 0 ? " at " + trace[0] : "";
      reply.fault(id, "decision module: " + e + origin);
    }
  }
}
