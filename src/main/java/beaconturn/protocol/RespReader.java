package beaconturn.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * Reads RESP2 values out of a buffer as they become whole. Each call begins anew at the first
 * unparsed byte, and consumes nothing unless it returns a whole value. For one thread; what values
 * hold are slices of the buffer.
 */
public final class RespReader {
  /** The protocol's limit of a value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 16;

  private static final int LONGEST_LINE_BYTES = 1024;
  private static final int MOST_ITEMS = 64;
  private static final int DEEPEST_NESTING = 4;
  private static final int MOST_DIGITS = 18;
  private static final int LINE_END_BYTES = 2;
  private static final long NULL_LENGTH = -1;

  private final int longestStringBytes;

  // Of the value at hand:
  private InputBuffer input;
  private int position;

  /** A reader that takes strings of at most so many bytes. */
  public RespReader(int longestStringBytes) {
    this.longestStringBytes = longestStringBytes;
  }

  /**
   * The next value if it is whole, else null.
   *
   * @throws ProtocolException if it is none, or exceeds a limit
   */
  public RespValue next(InputBuffer buffer) throws ProtocolException {
    input = buffer;
    position = 0;
    RespValue value = readValue(0);
    if (value != null) {
      buffer.consume(position);
    }
    return value;
  }

  private RespValue readValue(int depth) throws ProtocolException {
    int begin = position;
    Slice line = readLine();
    if (line == null) {
      return null;
    }
    if (line.length() == 0) {
      throw new ProtocolException("empty line where a value should begin");
    }
    Slice rest = line.part(1, line.length());
    return switch (line.at(0)) {
      case '+' -> new RespValue.SimpleString(frame(begin), rest);
      case '-' -> new RespValue.SimpleError(frame(begin), rest);
      case ':' -> new RespValue.Int(frame(begin), number(rest));
      case '$' -> readString(begin, number(rest));
      case '*' -> readArray(begin, number(rest), depth);
      default -> throw new ProtocolException("unknown type of value");
    };
  }

  private RespValue readString(int begin, long length) throws ProtocolException {
    if (length == NULL_LENGTH) {
      return new RespValue.Bulk(frame(begin), null);
    }
    if (length < 0 || length > longestStringBytes) {
      throw new ProtocolException("string of " + length + " bytes");
    }
    int from = position;
    int end = from + (int) length;
    if (input.size() < end + LINE_END_BYTES) {
      input.expect(end + LINE_END_BYTES);
      return null;
    }
    if (input.at(end) != '\r' || input.at(end + 1) != '\n') {
      throw new ProtocolException("string not ended where it said");
    }
    position = end + LINE_END_BYTES;
    return new RespValue.Bulk(frame(begin), input.slice(from, (int) length));
  }

  private RespValue readArray(int begin, long count, int depth) throws ProtocolException {
    if (count == NULL_LENGTH) {
      return new RespValue.Array(frame(begin), null);
    }
    if (count < 0 || count > MOST_ITEMS || depth >= DEEPEST_NESTING) {
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
    return new RespValue.Array(frame(begin), items);
  }

  private Slice frame(int begin) {
    return input.slice(begin, position - begin);
  }

  /** The next line without its end, or null if it is not whole. */
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
      if (i - position > LONGEST_LINE_BYTES) {
        throw new ProtocolException("line over " + LONGEST_LINE_BYTES + " bytes");
      }
    }
    return null;
  }

  private static long number(Slice digits) throws ProtocolException {
    boolean negative = digits.length() > 0 && digits.at(0) == '-';
    int first = negative ? 1 : 0;
    if (digits.length() == first || digits.length() > MOST_DIGITS) {
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
