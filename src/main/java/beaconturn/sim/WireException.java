package beaconturn.sim;

/** Input that does not follow the wire; the message says what is wrong and where. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Makes an exception with one plain line. */
  public WireException(String message) {
    super(message);
  }
}
