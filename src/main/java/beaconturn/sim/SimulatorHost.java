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

/** Reads batches, hands each event to its instance, and answers every batch with one reply. */
public final class SimulatorHost {
  private final InputStream in;
  private final OutputStream out;
  private final ActionWriter reply = new ActionWriter();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final byte[] headerBytes = new byte[SimulatorCodec.BATCH_HEADER];
  private final ByteBuffer header = SimulatorCodec.little(headerBytes);
  private byte[] body = new byte[1 << 16];
  private long batches;

  /** One router's module with the settings it was started with. */
  private record Instance(RoutingSettings settings, RoutingPolicy router) {}

  /** A host on the given streams. */
  public SimulatorHost(InputStream in, OutputStream out) {
    this.in = in;
    this.out = out;
  }

  /** Serves until the input ends between two frames. */
  public void run() throws IOException, SimulatorProtocolException {
    while (readBatch()) {
      reply.begin();
      batch(header.getLong(0), header.getInt(8), header.getInt(12));
      reply.finish(out);
      batches++;
    }
  }

  private boolean readBatch() throws IOException, SimulatorProtocolException {
    int got = in.readNBytes(headerBytes, 0, SimulatorCodec.BATCH_HEADER);
    if (got == 0) {
      return false;
    }
    int length = header.getInt(8);
    if (got < SimulatorCodec.BATCH_HEADER) {
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

  private void batch(long now, int length, int count) throws SimulatorProtocolException {
    ByteBuffer records = SimulatorCodec.little(body);
    records.limit(length);
    int instance = -1;
    int at = 0;
    try {
      for (int i = 0; i < count; i++) {
        at = records.position();
        int code = records.get() & 0xff;
        if (code == SimulatorCodec.ON) {
          instance = records.getInt();
        } else {
          event(now, instance, code, records);
        }
      }
      at = records.position();
    } catch (BufferUnderflowException e) {
      throw new SimulatorProtocolException(
          "batch " + batches + ", byte " + at + ": record runs past the end");
    } catch (SimulatorProtocolException e) {
      throw new SimulatorProtocolException(
          "batch " + batches + ", byte " + at + ": " + e.getMessage());
    }
    if (records.hasRemaining()) {
      throw new SimulatorProtocolException(
          "batch "
              + batches
              + ", byte "
              + at
              + ": "
              + records.remaining()
              + " bytes left after "
              + count
              + " records");
    }
  }

  private void event(long now, int id, int code, ByteBuffer records)
      throws SimulatorProtocolException {
    if (code == SimulatorCodec.UP) {
      SimulatorCodec.Up up = SimulatorCodec.up(records);
      RoutingPolicy router = new RingRouter(up.settings(), up.seed(), now, reply.sink(id));
      instances.put(id, new Instance(up.settings(), router));
      return;
    }
    Instance instance = instances.get(id);
    if (instance == null) {
      throw new SimulatorProtocolException(
          "event " + code + " for instance " + id + ", which is not up");
    }
    if (code == SimulatorCodec.EXIT) {
      instances.remove(id);
      return;
    }
    deliver(now, id, instance, SimulatorCodec.event(code, records, instance.settings()));
  }

  private void deliver(long now, int id, Instance instance, RoutingEvent event) {
    try {
      instance.router().handle(now, event);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      reply.fault(id, "decision module: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }
}
