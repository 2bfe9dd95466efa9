package beaconturn.agreement;

/**
 * A text of the agreement that cannot be followed, or a step not allowed now; the message says why.
 */
public final class AgreementException extends Exception {
  private static final long serialVersionUID = 1;

  /** With what is wrong. */
  public AgreementException(String message) {
    super(message);
  }
}
