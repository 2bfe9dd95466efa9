package beaconturn.net.client;

/**
 * A command that arrived completely but has invalid arguments. The command is answered with an
 * error, and the commands around it are unaffected, unlike after a {@link
 * beaconturn.protocol.ProtocolException}, where the input cannot be split into commands.
 */
public final class InvalidCommandException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception whose message is sent to the client. It has no stack trace, which would be
   * the costliest part of a rejection.
   */
  InvalidCommandException(String message) {
    super(message, null, false, false);
  }
}
