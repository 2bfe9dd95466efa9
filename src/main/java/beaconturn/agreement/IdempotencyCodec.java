package beaconturn.agreement;

import java.util.Locale;

/**
 * The words for {@link ClassIdempotency} in the store, in persisted files and those of operators.
 */
public final class IdempotencyCodec {
  private IdempotencyCodec() {}

  /** The word that is written. */
  static String encode(ClassIdempotency idempotency) {
    return switch (idempotency) {
      case IDEMPOTENT -> "safe";
      case IDEMPOTENCY_KEY -> "keyed";
      case NON_IDEMPOTENT -> "unsafe";
    };
  }

  /** The idempotency that a word stands for, in any case of letters; null for an unknown word. */
  public static ClassIdempotency decode(String word) {
    return switch (word.toUpperCase(Locale.ROOT)) {
      case "SAFE" -> ClassIdempotency.IDEMPOTENT;
      case "KEYED" -> ClassIdempotency.IDEMPOTENCY_KEY;
      case "UNSAFE" -> ClassIdempotency.NON_IDEMPOTENT;
      default -> null;
    };
  }
}
