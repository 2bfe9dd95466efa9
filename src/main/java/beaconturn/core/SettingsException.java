package beaconturn.core;

/** Thrown for missing or invalid settings; the message names the first one. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a one-line message. */
  public SettingsException(String message) {
    super(message);
  }
}
