package beaconturn.agreement;

import java.util.Locale;

/**
 * Maps {@link ClassIdempotency} to the words used in the store, in persisted files and in
 * operators' files.
 */
public final class IdempotencyCodec {
  private IdempotencyCodec() {}

  static String encode(ClassIdempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> "safe";
      case IDEMPOTENCY_KEY -> "keyed";
      case NON_IDEMPOTENT -> "unsafe";
    };
  }

  /** Decodes a word, ignoring case; returns null if the word is unknown. */
  public static ClassIdempotency decode(String word) {
    return switch (word.toUpperCase(Locale.ROOT)) {
      case "SAFE" -> ClassIdempotency.IDEMPOTENT;
      case "KEYED" -> ClassIdempotency.IDEMPOTENCY_KEY;
      case "UNSAFE" -> ClassIdempotency.NON_IDEMPOTENT;
      default -> null;
    };
  }
}
