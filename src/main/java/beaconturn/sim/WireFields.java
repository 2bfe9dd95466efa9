package beaconturn.sim;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads and writes fields of the simulator's wire format: little-endian numbers, unsigned counts.
 */
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
   * Reads a server id: four address bytes in network order, then the port. {@link #putServerId} is
   * the inverse.
   */
  static long serverId(ByteBuffer in) {
    long address = Integer.reverseBytes(in.getInt()) & INT_MASK;
    return address << PORT_BITS | unsignedShort(in);
  }

  static void putServerId(ByteBuffer out, long serverId) {
    out.putInt(Integer.reverseBytes((int) (serverId >>> PORT_BITS)));
    out.putShort((short) serverId);
  }

  /**
   * Reads {@code count} bytes.
   *
   * @throws BufferUnderflowException if fewer bytes remain
   */
  static byte[] bytes(ByteBuffer in, int count) {
    if (count < 0 || count > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[count];
    in.get(bytes);
    return bytes;
  }

  /** Reads a load report: the number of values, then each value. */
  static float[] loadReport(ByteBuffer in) {
    int count = unsignedByte(in);
    if (count == 0) {
      return NO_REPORT;
    }
    float[] values = new float[count];
    for (int i = 0; i < count; i++) {
      values[i] = in.getFloat();
    }
    return values;
  }
}
