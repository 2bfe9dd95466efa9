package beaconturn.net;

/** A configuration that a router cannot start with; the message is one plain line. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Makes an exception with one plain line. */
  public ConfigException(String message) {
    super(message);
  }
}
