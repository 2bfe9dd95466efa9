package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.io.InputStream;

/**
 * An answer whose value is too large to be held whole: it is passed on as it comes. Its last two
 * bytes wait for what stands behind the value, so that an answer that is spoilt there is not whole
 * for the client either.
 */
public final class LargeResponseStream {
  /** The largest value that is passed on, in bytes. */
  static final int LARGEST = 4 << 20;

  private static final int LONGEST_HEAD = 32;
  private static final String LIST = "*3\r\n$";
  private final int length;

  private LargeResponseStream(int length) {
    this.length = length;
  }

  /**
   * The answer that begins here, whose head is then consumed; null if there is none, or no whole
   * head yet.
   */
  public static LargeResponseStream at(InputBuffer in) {
    int at = LIST.length();
    for (int i = 0; i < at; i++) {
      if (i >= in.size() || in.at(i) != LIST.charAt(i)) {
        return null;
      }
    }
    long value = 0;
    while (at < in.size() && at < LONGEST_HEAD && in.at(at) >= '0' && in.at(at) <= '9') {
      value = value * 10 + in.at(at++) - '0';
    }
    boolean whole = at + 1 < in.size() && in.at(at) == '\r' && in.at(at + 1) == '\n';
    if (!whole || value <= RespReader.LONGEST_VALUE || value > LARGEST) {
      return null;
    }
    in.consume(at + 2);
    return new LargeResponseStream((int) value);
  }

  /**
   * Passes the value on and reads what stands behind it; the outcome is of the time of its first
   * bytes.
   */
  AttemptResult passOn(
      InputStream from, InputBuffer in, CacheResponseReader replies, BoundedPipe flow, long began)
      throws IOException, ProtocolException {
    flow.put(Slice.of("$" + length + "\r\n"));
    int left = length;
    while (left > 0) {
      Slice piece = in.size() > 0 ? taken(in, left) : read(from, left);
      flow.put(piece);
      left -= piece.length();
    }
    RespReader tail = new RespReader(RespReader.LONGEST_VALUE);
    while (in.size() < 2) {
      more(from, in);
    }
    if (in.at(0) != '\r' || in.at(1) != '\n') {
      throw new ProtocolException("string not ended where it said");
    }
    in.consume(2);
    RespValue how = next(tail, from, in);
    RespValue report = next(tail, from, in);
    AttemptResult outcome = replies.served(how, report, began);
    flow.put(Slice.of("\r\n"));
    flow.end();
    return outcome;
  }

  private static Slice taken(InputBuffer in, int most) {
    int size = Math.min(in.size(), most);
    Slice piece = in.slice(0, size);
    in.consume(size);
    return piece;
  }

  private static Slice read(InputStream from, int most) throws IOException {
    byte[] bytes = new byte[Math.min(Sockets.MAX_TRANSFER_BYTES, most)];
    int got = from.read(bytes);
    if (got < 0) {
      throw new IOException("ended in the middle of a value");
    }
    return new Slice(bytes, 0, got);
  }

  private static RespValue next(RespReader reader, InputStream from, InputBuffer in)
      throws IOException, ProtocolException {
    RespValue value = reader.next(in);
    while (value == null) {
      more(from, in);
      value = reader.next(in);
    }
    return value;
  }

  private static void more(InputStream from, InputBuffer in) throws IOException {
    if (!Sockets.read(from, in)) {
      throw new IOException("ended in the middle of an answer");
    }
  }
}
