package beaconturn.sim;

/** Malformed input from the simulator; the message states the problem and its position. */
public final class SimulatorProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a one-line message. */
  public SimulatorProtocolException(String message) {
    super(message);
  }
}
