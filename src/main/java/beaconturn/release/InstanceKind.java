package beaconturn.release;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of instances that a fleet consists of. */
public enum InstanceKind implements SerializedName {
  /** A router. */
  ROUTER("router"),
  /** A cache server. */
  CACHE("cache");

  private final String word;

  InstanceKind(String word) {
    this.word = word;
  }

  /** Its word in files, commands and the store. */
  @Override
  public String serializedName() {
    return word;
  }

  /** The kind of that word, or empty where no kind has it. */
  public static Optional<InstanceKind> ofSerializedName(String word) {
    return Arrays.stream(values()).filter(kind -> kind.word.equals(word)).findFirst();
  }
}
