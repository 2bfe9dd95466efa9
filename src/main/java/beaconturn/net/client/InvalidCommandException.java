package beaconturn.net.client;

/**
 * A command that came whole, but whose words or values are wrong. It gets an error in its place
 * among the answers; the commands around it are as sound as before, unlike where {@link
 * beaconturn.protocol.ProtocolException} says that what came cannot be split into commands.
 */
public final class InvalidCommandException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says what is wrong, in words for the client. */
  InvalidCommandException(String message) {
    super(message);
  }
}
