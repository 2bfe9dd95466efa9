package beaconturn.standin;

import java.nio.charset.StandardCharsets;

/** A cache server's response to a command, independent of its encoding on the wire. */
public sealed interface CacheResponse {
  /** How a command was served. */
  enum Outcome {
    HIT,
    MISS,
    PENDING,
    WRITTEN
  }

  /** Ways in which an encoded response is corrupted. */
  enum Corruption {
    NOISE,
    ENDLESS_LINE,
    WRONG_LENGTH,
    HUGE_LENGTH,
    DUPLICATED,
    TRAILING_NOISE,
    INVALID_LOAD_REPORT
  }

  /**
   * The value of a read or the confirmation of a write.
   *
   * @param bytes unique to the request, so that a response to another request can be recognized
   * @param outcome how the command was served
   * @param report the load report, or null
   */
  record Value(byte[] bytes, Outcome outcome, String report) implements CacheResponse {
    /** Returns the value as text, for logs. */
    @Override
    public String toString() {
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }
  }

  /** A value that is corrupted when it is encoded. */
  record Corrupted(Value value, Corruption corruption) implements CacheResponse {}

  /** The command was rejected: it has not run and never will. */
  record Busy(String reason) implements CacheResponse {}

  /** The command failed; it may have run. */
  record Failed(String reason) implements CacheResponse {}
}
