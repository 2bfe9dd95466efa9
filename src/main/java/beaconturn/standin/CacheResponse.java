package beaconturn.standin;

import java.nio.charset.StandardCharsets;

/** What a cache server answers to a command; how it looks on the wire is the front's matter. */
public sealed interface CacheResponse {
  /** How a read went. */
  enum Outcome {
    HIT,
    MISS,
    PENDING,
    WRITTEN
  }

  /** Ways in which an answer is spoilt or followed by what does not belong to it. */
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
   * The value or the receipt, made for this request alone; {@code report} is the load report or
   * null.
   */
  record Value(byte[] bytes, Outcome outcome, String report) implements CacheResponse {
    /** The value as text; for logs. */
    @Override
    public String toString() {
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }
  }

  /** A value of which the front makes something spoilt. */
  record Corrupted(Value value, Corruption corruption) implements CacheResponse {}

  /** Turned away: the command has not run and never will. */
  record Busy(String reason) implements CacheResponse {}

  /** Failed: the command may have run. */
  record Failed(String reason) implements CacheResponse {}
}
