package beaconturn.sim;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Fields of the simulator's wire: all numbers little-endian, all counts unsigned. */
final class WireFields {
  private static final int BYTE_MASK = 0xff;
  private static final int SHORT_MASK = 0xffff;
  private static final long INT_MASK = 0xffffffffL;
  private static final int PORT_BITS = 16;
  private static final float[] NO_REPORT = {};

  private WireFields() {}

  static ByteBuffer littleEndian(byte[] bytes) {
    return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }

  static int unsignedByte(ByteBuffer in) {
    return in.get() & BYTE_MASK;
  }

  static int unsignedShort(ByteBuffer in) {
    return in.getShort() & SHORT_MASK;
  }

  static long requestId(ByteBuffer in) {
    return in.getInt() & INT_MASK;
  }

  /**
   * Four address bytes, first byte first, then the port: packed so that {@link #putServerId} can
   * undo it.
   */
  static long serverId(ByteBuffer in) {
    long address = Integer.reverseBytes(in.getInt()) & INT_MASK;
    return address << PORT_BITS | unsignedShort(in);
  }

  static void putServerId(ByteBuffer out, long serverId) {
    out.putInt(Integer.reverseBytes((int) (serverId >>> PORT_BITS)));
    out.putShort((short) serverId);
  }

  /** So many bytes; throws {@link BufferUnderflowException} where there are fewer. */
  static byte[] bytes(ByteBuffer in, int count) {
    if (count < 0 || count > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[count];
    in.get(bytes);
    return bytes;
  }

  /** A load report: the number of its figures, then each. */
  static float[] loadReport(ByteBuffer in) {
    int count = unsignedByte(in);
    if (count == 0) {
      return NO_REPORT;
    }
    float[] figures = new float[count];
    for (int i = 0; i < count; i++) {
      figures[i] = in.getFloat();
    }
    return figures;
  }
}
