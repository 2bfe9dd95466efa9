package beaconturn.agreement;

/**
 * A numbered, immutable version of the configuration. Numbers are never reused.
 *
 * @param number counts from 1; 0 stands for the local configuration of each router
 * @param content the settings that the version puts in force
 * @param author who proposed it
 * @param reason the author's reason
 * @param proposedAtMillis Unix time by the author's clock; informational only
 * @param digest digest of all other fields, see {@link ConfigCodec#digest}
 */
public record ConfigVersion(
    long number,
    ConfigContent content,
    String author,
    String reason,
    long proposedAtMillis,
    String digest) {
  /** The local configuration of each router, in force before the first version. */
  public static final ConfigVersion NONE =
      new ConfigVersion(0, ConfigContent.UNSPECIFIED, "", "", 0, "");

  /** Creates a version and computes its digest. */
  public static ConfigVersion of(
      long number, ConfigContent content, String author, String reason, long proposedAtMillis) {
    String digest = ConfigCodec.digest(number, content, author, reason, proposedAtMillis);
    return new ConfigVersion(number, content, author, reason, proposedAtMillis, digest);
  }

  /** Whether both have the same number and digest. */
  boolean isSameAs(ConfigVersion other) {
    return number == other.number && digest.equals(other.digest);
  }
}
