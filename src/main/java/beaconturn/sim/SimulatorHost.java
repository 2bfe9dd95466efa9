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
 * Hosts the routing policies of many simulated routers: reads batches of events, delivers each
 * event to its instance, and writes one reply per batch. Not thread-safe.
 */
public final class SimulatorHost {
  /** Time, length of the records in bytes, and number of records. */
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

  /** One simulated router with its settings. */
  private record Instance(RoutingSettings settings, RoutingPolicy policy) {}

  /** Creates a host that reads events from {@code in} and writes replies to {@code out}. */
  public SimulatorHost(InputStream in, OutputStream out) {
    this.in = in;
    this.out = out;
  }

  /**
   * Serves until the input ends between two batches.
   *
   * @throws SimulatorProtocolException if the input is malformed
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
    int bytesRead = in.readNBytes(headerBytes, 0, HEADER_BYTES);
    if (bytesRead == 0) {
      return false;
    }
    int length = header.getInt(HEADER_LENGTH_OFFSET);
    if (bytesRead < HEADER_BYTES) {
      throw new SimulatorProtocolException("batch " + batches + ": input ends inside the header");
    }
    if (length < 0) {
      throw new SimulatorProtocolException(
          "batch " + batches + ": invalid length of records: " + length);
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
    int instanceId = NO_INSTANCE;
    int recordStart = 0;
    try {
      for (int i = 0; i < count; i++) {
        recordStart = records.position();
        int code = WireFields.unsignedByte(records);
        if (code == EventCode.INSTANCE_SELECTED) {
          instanceId = records.getInt();
        } else {
          handleRecord(nowNanos, instanceId, code, records);
        }
      }
    } catch (BufferUnderflowException e) {
      throw malformed(recordStart, "record extends past the end of the batch");
    } catch (SimulatorProtocolException e) {
      throw malformed(recordStart, e.getMessage());
    }
    if (records.hasRemaining()) {
      String rest = records.remaining() + " bytes left after " + count + " records";
      throw malformed(records.position(), rest);
    }
  }

  private SimulatorProtocolException malformed(int position, String problem) {
    return new SimulatorProtocolException(
        "batch " + batches + ", byte " + position + ": " + problem);
  }

  private void handleRecord(long nowNanos, int instanceId, int code, ByteBuffer records)
      throws SimulatorProtocolException {
    if (code == EventCode.INSTANCE_STARTED) {
      InstanceStart start = InstanceStart.read(records);
      RoutingPolicy policy =
          new RingRouter(start.settings(), start.seed(), nowNanos, reply.actionsOf(instanceId));
      instances.put(instanceId, new Instance(start.settings(), policy));
      return;
    }
    Instance instance = instances.get(instanceId);
    if (instance == null) {
      throw new SimulatorProtocolException(
          "event " + code + " for instance " + instanceId + ", which is not running");
    }
    if (code == EventCode.INSTANCE_STOPPED) {
      instances.remove(instanceId);
      return;
    }
    deliver(
        nowNanos, instanceId, instance, SimulatorCodec.event(code, records, instance.settings()));
  }

  /** Confines an exception of the routing policy to the instance and event that caused it. */
  private void deliver(long nowNanos, int instanceId, Instance instance, RoutingEvent event) {
    try {
      instance.policy().handle(nowNanos, event);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      String location = trace.length > 0 ? " at " + trace[0] : "";
      reply.fault(instanceId, "decision module: " + e + location);
    }
  }
}
