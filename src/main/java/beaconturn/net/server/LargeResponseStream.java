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
 * Streams a response to the client while it is received, as its value is too large to be buffered.
 * The line end after the value is held back until the rest of the response has been read: if that
 * is malformed, the client must not get a response that looks complete.
 *
 * <p>For the worker thread that owns the connection; pieces passed to the pipe are not modified
 * afterwards.
 */
public final class LargeResponseStream {
  /** The largest value that is streamed. */
  static final int MAX_STREAMED_VALUE_BYTES = 4 << 20;

  private static final int MAX_HEAD_BYTES = 32;
  private static final String LINE_END = "\r\n";
  private static final int LINE_END_BYTES = LINE_END.length();
  private static final String HEAD_START = "*3\r\n$";

  private final int valueBytes;

  private LargeResponseStream(int valueBytes) {
    this.valueBytes = valueBytes;
  }

  /**
   * The large response at the start of the buffer, whose head is consumed; null if there is none or
   * its head is incomplete.
   */
  public static LargeResponseStream at(InputBuffer input) {
    if (!startsLikeHead(input)) {
      return null;
    }
    int position = HEAD_START.length();
    long size = 0;
    while (position < MAX_HEAD_BYTES && isDigit(input, position)) {
      size = size * 10 + input.at(position) - '0';
      position++;
    }
    if (!isLineEnd(input, position)
        || size <= RespReader.MAX_VALUE_BYTES
        || size > MAX_STREAMED_VALUE_BYTES) {
      return null;
    }
    input.consume(position + LINE_END_BYTES);
    return new LargeResponseStream((int) size);
  }

  private static boolean startsLikeHead(InputBuffer input) {
    for (int i = 0; i < HEAD_START.length(); i++) {
      if (i >= input.size() || input.at(i) != HEAD_START.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isDigit(InputBuffer input, int position) {
    return position < input.size() && input.at(position) >= '0' && input.at(position) <= '9';
  }

  private static boolean isLineEnd(InputBuffer input, int position) {
    return position + 1 < input.size()
        && input.at(position) == '\r'
        && input.at(position + 1) == '\n';
  }

  /** The size of the response that the client gets: the value with its head and line end. */
  int responseBytes() {
    return head().length() + valueBytes + LINE_END_BYTES;
  }

  private Slice head() {
    return Slice.of("$" + valueBytes + LINE_END);
  }

  /**
   * Streams the value into the pipe and reads the rest of the response.
   *
   * @param startedAtNanos when the first bytes were received, which becomes the result's end time
   */
  AttemptResult stream(
      InputStream from,
      InputBuffer input,
      CacheResponseReader responseReader,
      BoundedPipe pipe,
      long startedAtNanos)
      throws IOException, ProtocolException {
    pipe.put(head());
    streamValue(from, input, pipe);
    readLineEnd(from, input);
    RespReader rest = new RespReader(RespReader.MAX_VALUE_BYTES);
    RespValue status = readValue(rest, from, input);
    RespValue report = readValue(rest, from, input);
    AttemptResult result = responseReader.readStreamed(status, report, startedAtNanos);
    pipe.put(Slice.of(LINE_END));
    pipe.end();
    return result;
  }

  private void streamValue(InputStream from, InputBuffer input, BoundedPipe pipe)
      throws IOException {
    int remainingBytes = valueBytes;
    while (remainingBytes > 0) {
      Slice piece =
          input.size() > 0 ? takeBuffered(input, remainingBytes) : read(from, remainingBytes);
      pipe.put(piece);
      remainingBytes -= piece.length();
    }
  }

  private static Slice takeBuffered(InputBuffer input, int maxBytes) {
    int size = Math.min(input.size(), maxBytes);
    Slice piece = input.slice(0, size);
    input.consume(size);
    return piece;
  }

  private static Slice read(InputStream from, int maxBytes) throws IOException {
    byte[] bytes = new byte[Math.min(Sockets.MAX_TRANSFER_BYTES, maxBytes)];
    int count = from.read(bytes);
    if (count < 0) {
      throw new IOException("connection closed in the middle of a value");
    }
    return new Slice(bytes, 0, count);
  }

  private static void readLineEnd(InputStream from, InputBuffer input)
      throws IOException, ProtocolException {
    while (input.size() < LINE_END_BYTES) {
      readMore(from, input);
    }
    if (!isLineEnd(input, 0)) {
      throw new ProtocolException("no line end after a value of the stated length");
    }
    input.consume(LINE_END_BYTES);
  }

  private static RespValue readValue(RespReader reader, InputStream from, InputBuffer input)
      throws IOException, ProtocolException {
    RespValue value = reader.next(input);
    while (value == null) {
      readMore(from, input);
      value = reader.next(input);
    }
    return value;
  }

  private static void readMore(InputStream from, InputBuffer input) throws IOException {
    if (!Sockets.read(from, input)) {
      throw new IOException("connection closed in the middle of a response");
    }
  }
}
