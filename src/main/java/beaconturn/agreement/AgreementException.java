package beaconturn.agreement;

/**
 * Thrown if stored data cannot be decoded, the store cannot be reached, or an operation is not
 * allowed in the current state. The message gives the reason.
 */
public final class AgreementException extends Exception {
  private static final long serialVersionUID = 1;

  /** Creates an exception with the reason as its message. */
  public AgreementException(String message) {
    super(message);
  }
}
