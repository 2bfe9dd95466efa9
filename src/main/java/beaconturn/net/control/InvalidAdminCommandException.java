package beaconturn.net.control;

/** A line that is no command; the message is the reason in a few words, for the caller. */
final class InvalidAdminCommandException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidAdminCommandException(String reason) {
    super(reason);
  }
}
