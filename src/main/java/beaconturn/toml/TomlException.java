package beaconturn.toml;

/** Thrown for an invalid file; the message is one line in the form FILE:LINE: KEY: problem. */
public final class TomlException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the complete line. */
  public TomlException(String line) {
    super(line);
  }
}
