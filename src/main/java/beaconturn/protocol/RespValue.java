package beaconturn.protocol;

import java.util.List;

/** One value of RESP2; {@code frame} is all its bytes as they were read. */
public sealed interface RespValue {
  /** All bytes of the value, its header included. */
  Slice frame();

  /** A line that begins with a plus. */
  record SimpleString(Slice frame, Slice text) implements RespValue {}

  /** A line that begins with a minus. */
  record SimpleError(Slice frame, Slice text) implements RespValue {}

  /** A whole number. */
  record Int(Slice frame, long value) implements RespValue {}

  /** A string of bytes; {@code bytes} is null for the null string. */
  record Bulk(Slice frame, Slice bytes) implements RespValue {}

  /** A list of values; {@code items} is null for the null list. */
  record Array(Slice frame, List<RespValue> items) implements RespValue {}
}
