package beaconturn.protocol;

import java.util.ArrayList;
import java.util.List;

/** Reads RESP2 values out of a buffer as they become whole. */
public final class RespReader {
  /** The protocol's limit of a value. */
  public static final int LONGEST_VALUE = 1 << 16;

  private static final int LONGEST_LINE = 1024;
  private static final int MOST_ITEMS = 64;
  private static final int DEEPEST = 4;
  private static final int MOST_DIGITS = 18;

  private final int longestBulk;
  private InputBuffer in;
  private int at;

  /** A reader that takes strings of at most so many bytes. */
  public RespReader(int longestBulk) {
    this.longestBulk = longestBulk;
  }

  /** The next value if it is whole, else null and nothing is consumed. */
  public RespValue next(InputBuffer buffer) throws ProtocolException {
    in = buffer;
    at = 0;
    RespValue value = value(0);
    if (value != null) {
      buffer.consume(at);
    }
    return value;
  }

  private RespValue value(int depth) throws ProtocolException {
    int begin = at;
    Slice line = line();
    if (line == null) {
      return null;
    }
    if (line.length() == 0) {
      throw new ProtocolException("empty line where a value should begin");
    }
    Slice rest = line.part(1, line.length());
    return switch (line.at(0)) {
      case '+' -> new RespValue.Simple(frame(begin), rest);
      case '-' -> new RespValue.Failure(frame(begin), rest);
      case ':' -> new RespValue.Whole(frame(begin), number(rest));
      case '$' -> bulk(begin, number(rest));
      case '*' -> array(begin, number(rest), depth);
      default -> throw new ProtocolException("unknown type of value");
    };
  }

  private RespValue bulk(int begin, long length) throws ProtocolException {
    if (length == -1) {
      return new RespValue.Bulk(frame(begin), null);
    }
    if (length < 0 || length > longestBulk) {
      throw new ProtocolException("string of " + length + " bytes");
    }
    int from = at;
    int end = from + (int) length;
    if (in.size() < end + 2) {
      in.expect(end + 2);
      return null;
    }
    if (in.at(end) != '\r' || in.at(end + 1) != '\n') {
      throw new ProtocolException("string not ended where it said");
    }
    at = end + 2;
    return new RespValue.Bulk(frame(begin), in.slice(from, (int) length));
  }

  private RespValue array(int begin, long count, int depth) throws ProtocolException {
    if (count == -1) {
      return new RespValue.Array(frame(begin), null);
    }
    if (count < 0 || count > MOST_ITEMS || depth >= DEEPEST) {
      throw new ProtocolException("list of " + count + " items at depth " + depth);
    }
    List<RespValue> items = new ArrayList<>((int) count);
    for (int i = 0; i < count; i++) {
      RespValue item = value(depth + 1);
      if (item == null) {
        return null;
      }
      items.add(item);
    }
    return new RespValue.Array(frame(begin), items);
  }

  private Slice frame(int begin) {
    return in.slice(begin, at - begin);
  }

  private Slice line() throws ProtocolException {
    for (int i = at; i < in.size(); i++) {
      if (in.at(i) == '\n') {
        if (i == at || in.at(i - 1) != '\r') {
          throw new ProtocolException("line ended without a carriage return");
        }
        Slice line = in.slice(at, i - 1 - at);
        at = i + 1;
        return line;
      }
      if (i - at > LONGEST_LINE) {
        throw new ProtocolException("line over " + LONGEST_LINE + " bytes");
      }
    }
    return null;
  }

  private static long number(Slice digits) throws ProtocolException {
    int first = digits.length() > 0 && digits.at(0) == '-' ? 1 : 0;
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
    return first == 1 ? -value : value;
  }
}
