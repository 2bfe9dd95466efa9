package beaconturn.sim;

/** Codes of the records received from the simulator, the first byte of each. */
final class EventCode {
  static final int INSTANCE_STARTED = 1;
  static final int ENDPOINTS_UPDATED = 2;
  static final int REQUEST_ARRIVED = 3;
  static final int RESPONSE_STARTED = 4;
  static final int ATTEMPT_CLOSED = 5;
  static final int REQUEST_CANCELLED = 6;
  static final int TIMER_FIRED = 7;
  static final int PROBE_COMPLETED = 8;
  static final int PEER_MESSAGE = 9;
  static final int INSTANCE_STOPPED = 10;

  /** Names the instance that receives the following records. */
  static final int INSTANCE_SELECTED = 11;

  private EventCode() {}
}
