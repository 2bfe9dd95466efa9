package beaconturn.protocol;

/** Thrown for input that violates its protocol or exceeds a size limit. */
public final class ProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a one-line message. */
  public ProtocolException(String message) {
    super(message);
  }
}
