package beaconturn.core;

/** Settings that are missing or unreadable; the message names the first one. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Makes an exception with one plain line. */
  public SettingsException(String message) {
    super(message);
  }
}
