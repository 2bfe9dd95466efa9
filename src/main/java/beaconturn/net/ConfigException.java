package beaconturn.net;

/** A configuration that a router cannot start with; the message is a single line. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  public ConfigException(String message) {
    super(message);
  }
}
