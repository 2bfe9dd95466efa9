package beaconturn.protocol;

/**
 * Input that does not follow its protocol or exceeds a size limit; the message says what is wrong.
 */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Makes an exception with one plain line. */
  public ProtocolException(String message) {
    super(message);
  }
}
