package beaconturn.protocol;

import java.util.List;

/** A RESP2 value; {@code frame} contains its encoded bytes. */
public sealed interface RespValue {
  /** The encoded bytes of the value, including its header. */
  Slice frame();

  /** A simple string, encoded as a line with the prefix {@code +}. */
  record SimpleString(Slice frame, Slice text) implements RespValue {}

  /** A simple error, encoded as a line with the prefix {@code -}. */
  record SimpleError(Slice frame, Slice text) implements RespValue {}

  /** A 64-bit integer. */
  record Int(Slice frame, long value) implements RespValue {}

  /** A bulk string; {@code bytes} is null for the null bulk string. */
  record Bulk(Slice frame, Slice bytes) implements RespValue {}

  /** An array; {@code items} is null for the null array. */
  record Array(Slice frame, List<RespValue> items) implements RespValue {}
}
