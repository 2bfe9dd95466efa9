package beaconturn.sim;

/** Malformed input from the simulator; the message says what is wrong and where. */
public final class SimulatorProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a one-line message. */
  public SimulatorProtocolException(String message) {
    super(message);
  }
}
