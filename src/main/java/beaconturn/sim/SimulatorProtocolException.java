package beaconturn.sim;

/** Input that does not follow the wire; the message says what is wrong and where. */
public final class SimulatorProtocolException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Makes an exception with one plain line. */
  public SimulatorProtocolException(String message) {
    super(message);
  }
}
