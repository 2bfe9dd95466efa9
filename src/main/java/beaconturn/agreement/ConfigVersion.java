package beaconturn.agreement;

/**
 * A numbered version; it never changes once it is written, and its number is never given again.
 *
 * @param number counts from 1; 0 stands for what each router is configured with
 * @param content what it puts in force
 * @param author who proposed it
 * @param reason why, in the author's words
 * @param proposedAtMillis when, by the author's clock, Unix time; for people only
 * @param digest of all that stands before, see {@link ConfigCodec#digest}
 */
public record ConfigVersion(
    long number,
    ConfigContent content,
    String author,
    String reason,
    long proposedAtMillis,
    String digest) {
  /** What each router is configured with, before there is any agreement. */
  public static final ConfigVersion NONE =
      new ConfigVersion(0, ConfigContent.UNSPECIFIED, "", "", 0, "");

  /** A version whose digest is that of its text. */
  public static ConfigVersion of(
      long number, ConfigContent content, String author, String reason, long proposedAtMillis) {
    String digest = ConfigCodec.digest(number, content, author, reason, proposedAtMillis);
    return new ConfigVersion(number, content, author, reason, proposedAtMillis, digest);
  }

  /** Whether it is the one of that number and text. */
  boolean isSameAs(ConfigVersion other) {
    return number == other.number && digest.equals(other.digest);
  }
}
