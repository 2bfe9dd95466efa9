package beaconturn.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * An incremental reader of RESP2 values. Each call starts at the first unparsed byte and consumes
 * nothing unless it returns a complete value. For one thread; values hold slices of the buffer.
 * Error messages are sent to clients.
 */
public final class RespReader {
  /** The largest value that the protocol permits. */
  public static final int MAX_VALUE_BYTES = 1 << 16;

  private static final int MAX_LINE_BYTES = 1024;
  private static final int MAX_ITEMS = 64;
  private static final int MAX_DEPTH = 4;
  private static final int MAX_DIGITS = 18;
  private static final int LINE_END_BYTES = 2;
  private static final long NULL_LENGTH = -1;
  private static final int NO_STRING = -1;
  private static final byte[] HEAD_OF_EMPTY_STRING = "$0\r\n".getBytes(StandardCharsets.US_ASCII);

  private final int maxStringBytes;

  // State of the current call.
  private InputBuffer input;
  private int position;

  // The last string of the current value that was incomplete in a call: where its frame and its
  // bytes begin, and its length, which is negative if there was none.
  private int incompleteFrame;
  private int incompleteFrom;
  private int incompleteLength = NO_STRING;

  /** Creates a reader that accepts strings up to that size. */
  public RespReader(int maxStringBytes) {
    this.maxStringBytes = maxStringBytes;
  }

  /**
   * The next value, or null if it is incomplete.
   *
   * @throws ProtocolException if the value is malformed or exceeds a limit
   */
  public RespValue next(InputBuffer buffer) throws ProtocolException {
    input = buffer;
    position = 0;
    RespValue value = readValue(0);
    if (value != null) {
      buffer.consume(position);
      incompleteLength = NO_STRING;
    }
    return value;
  }

  /**
   * Whether a string of the value that is arriving was incomplete in a call of {@link #next}, and
   * has not been discarded. It may have become complete since.
   */
  public boolean hasIncompleteString() {
    return incompleteLength != NO_STRING;
  }

  /**
   * Replaces the last string for which {@link #hasIncompleteString} is true by an empty string, and
   * releases the bytes of it that have arrived.
   *
   * @return the number of bytes of the string that are yet to arrive; the caller must not add them
   *     to the buffer
   */
  public int discardIncompleteString(InputBuffer buffer) {
    int arrived = Math.min(buffer.size() - incompleteFrom, incompleteLength);
    buffer.replace(incompleteFrame, incompleteFrom + arrived, HEAD_OF_EMPTY_STRING);
    int toArrive = incompleteLength - arrived;
    incompleteLength = NO_STRING;
    return toArrive;
  }

  private RespValue readValue(int depth) throws ProtocolException {
    int start = position;
    Slice line = readLine();
    if (line == null) {
      return null;
    }
    if (line.length() == 0) {
      throw new ProtocolException("empty line where a value should begin");
    }
    Slice rest = line.part(1, line.length());
    return switch (line.at(0)) {
      case '+' -> new RespValue.SimpleString(frame(start), rest);
      case '-' -> new RespValue.SimpleError(frame(start), rest);
      case ':' -> new RespValue.Int(frame(start), number(rest));
      case '$' -> readString(start, number(rest));
      case '*' -> readArray(start, number(rest), depth);
      default -> throw new ProtocolException("unknown type of value");
    };
  }

  private RespValue readString(int start, long length) throws ProtocolException {
    if (length == NULL_LENGTH) {
      return new RespValue.Bulk(frame(start), null);
    }
    if (length < 0 || length > maxStringBytes) {
      throw new ProtocolException("string of " + length + " bytes");
    }
    int from = position;
    int end = from + (int) length;
    if (input.size() < end + LINE_END_BYTES) {
      input.expect(end + LINE_END_BYTES);
      incompleteFrame = start;
      incompleteFrom = from;
      incompleteLength = (int) length;
      return null;
    }
    if (input.at(end) != '\r' || input.at(end + 1) != '\n') {
      throw new ProtocolException("string not ended where it said");
    }
    position = end + LINE_END_BYTES;
    return new RespValue.Bulk(frame(start), input.slice(from, (int) length));
  }

  private RespValue readArray(int start, long count, int depth) throws ProtocolException {
    if (count == NULL_LENGTH) {
      return new RespValue.Array(frame(start), null);
    }
    if (count < 0 || count > MAX_ITEMS || depth >= MAX_DEPTH) {
      throw new ProtocolException("list of " + count + " items at depth " + depth);
    }
    List<RespValue> items = new ArrayList<>((int) count);
    for (int i = 0; i < count; i++) {
      RespValue item = readValue(depth + 1);
      if (item == null) {
        return null;
      }
      items.add(item);
    }
    return new RespValue.Array(frame(start), items);
  }

  private Slice frame(int start) {
    return input.slice(start, position - start);
  }

  /** The next line without its line end, or null if it is incomplete. */
  private Slice readLine() throws ProtocolException {
    for (int i = position; i < input.size(); i++) {
      if (input.at(i) == '\n') {
        if (i == position || input.at(i - 1) != '\r') {
          throw new ProtocolException("line ended without a carriage return");
        }
        Slice line = input.slice(position, i - 1 - position);
        position = i + 1;
        return line;
      }
      if (i - position > MAX_LINE_BYTES) {
        throw new ProtocolException("line over " + MAX_LINE_BYTES + " bytes");
      }
    }
    return null;
  }

  private static long number(Slice digits) throws ProtocolException {
    boolean negative = digits.length() > 0 && digits.at(0) == '-';
    int first = negative ? 1 : 0;
    if (digits.length() == first || digits.length() > MAX_DIGITS) {
      throw new ProtocolException("unreadable number");
    }
    long value = 0;
    for (int i = first; i < digits.length(); i++) {
      int digit = digits.at(i) - '0';
      if (digit < 0 || digit > 9) {
        throw new ProtocolException("unreadable number");
      }
      value = value * 10 + digit;
    }
    return negative ? -value : value;
  }
}
