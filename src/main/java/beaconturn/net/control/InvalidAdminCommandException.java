package beaconturn.net.control;

/** Thrown for a line that is not a valid command. The message is sent to the caller. */
final class InvalidAdminCommandException extends Exception {
  private static final long serialVersionUID = 1L;

  InvalidAdminCommandException(String reason) {
    super(reason);
  }
}
