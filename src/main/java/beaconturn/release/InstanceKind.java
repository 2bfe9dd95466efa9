package beaconturn.release;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of instances in a fleet. */
public enum InstanceKind implements SerializedName {
  ROUTER("router"),
  CACHE("cache");

  private final String serializedName;

  InstanceKind(String serializedName) {
    this.serializedName = serializedName;
  }

  @Override
  public String serializedName() {
    return serializedName;
  }

  /** Returns the kind with a serialized name; empty if there is none. */
  public static Optional<InstanceKind> ofSerializedName(String serializedName) {
    return Arrays.stream(values())
        .filter(kind -> kind.serializedName.equals(serializedName))
        .findFirst();
  }
}
