package beaconturn.toml;

/** An invalid file; the message is one line: FILE:LINE: KEY: what is wrong, what is allowed. */
public final class TomlException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Makes an exception with the whole line. */
  public TomlException(String line) {
    super(line);
  }
}
