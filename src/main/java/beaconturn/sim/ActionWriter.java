package beaconturn.sim;

import beaconturn.decision.GiveUpReason;
import beaconturn.decision.RoutingActions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Collects the actions of one reply; each run of actions is headed by the instance that takes them.
 */
final class ActionWriter {
  private static final int LONGEST_TEXT = 400;
  private ByteBuffer out = SimulatorCodec.little(new byte[1 << 16]);
  private int records;
  private int current = -1;

  /** Starts an empty reply. */
  void begin() {
    out.clear();
    out.position(SimulatorCodec.REPLY_HEADER);
    records = 0;
    current = -1;
  }

  /** Completes the reply's header and writes it out. */
  void finish(OutputStream to) throws IOException {
    out.putInt(0, records);
    out.putInt(4, out.position() - SimulatorCodec.REPLY_HEADER);
    to.write(out.array(), 0, out.position());
    to.flush();
  }

  /** The sink through which one instance acts. */
  RoutingActions sink(int instance) {
    return new Sink(instance);
  }

  /** Reports that the instance's decisions failed. */
  void fault(int instance, String text) {
    record(instance, SimulatorCodec.GIVE_IN, LONGEST_TEXT + 2);
    text(text);
  }

  private void record(int instance, int code, int room) {
    if (out.remaining() < room + 6) {
      int size = Math.max(out.capacity() * 2, out.position() + room + 6);
      ByteBuffer larger = SimulatorCodec.little(new byte[size]);
      out.flip();
      larger.put(out);
      out = larger;
    }
    if (instance != current) {
      out.put((byte) SimulatorCodec.AT).putInt(instance);
      current = instance;
      records++;
    }
    out.put((byte) code);
    records++;
  }

  private void text(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    int length = Math.min(bytes.length, LONGEST_TEXT);
    out.putShort((short) length).put(bytes, 0, length);
  }

  private final class Sink implements RoutingActions {
    private final int instance;

    Sink(int instance) {
      this.instance = instance;
    }

    @Override
    public void send(long request, long server, long allowFor) {
      record(instance, SimulatorCodec.SEND, 18);
      out.putInt((int) request);
      SimulatorCodec.putServer(out, server);
      out.putLong(allowFor);
    }

    @Override
    public void cancel(long request, int attempt) {
      record(instance, SimulatorCodec.WITHDRAW, 6);
      out.putInt((int) request).putShort((short) attempt);
    }

    @Override
    public void refuse(long request, long retryAfter, GiveUpReason why) {
      record(instance, SimulatorCodec.OVERLOAD_REPLY, 12);
      out.putInt((int) request).putLong(retryAfter);
    }

    @Override
    public void fail(long request, GiveUpReason why) {
      record(instance, SimulatorCodec.GIVE_UP, 4);
      out.putInt((int) request);
    }

    @Override
    public void timer(long delay, long token) {
      record(instance, SimulatorCodec.REMIND, 16);
      out.putLong(delay).putLong(token);
    }

    @Override
    public void watch(boolean on) {
      record(instance, SimulatorCodec.STREAM_CHANGES, 1);
      out.put((byte) (on ? 1 : 0));
    }

    @Override
    public void fetchList() {
      record(instance, SimulatorCodec.SNAPSHOT, 0);
    }

    @Override
    public void probe(long server) {
      record(instance, SimulatorCodec.TEST, 6);
      SimulatorCodec.putServer(out, server);
    }

    @Override
    public void tell(int peer, byte[] body) {
      record(instance, SimulatorCodec.SHARE, 4 + body.length);
      out.putShort((short) (peer < 0 ? SimulatorCodec.EVERY_PEER : peer))
          .putShort((short) body.length)
          .put(body);
    }

    @Override
    public void closeIdle(long server) {
      record(instance, SimulatorCodec.CLOSE, 6);
      SimulatorCodec.putServer(out, server);
    }

    @Override
    public void log(String text) {
      record(instance, SimulatorCodec.RECORD, LONGEST_TEXT + 2);
      text(text);
    }
  }
}
