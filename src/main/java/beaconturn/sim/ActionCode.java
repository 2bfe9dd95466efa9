package beaconturn.sim;

/** Codes of the records sent to the simulator, the first byte of each. */
final class ActionCode {
  static final int WATCH_ENDPOINTS = 1;
  static final int PROBE = 2;
  static final int PEER_MESSAGE = 3;
  static final int FETCH_ENDPOINTS = 4;
  static final int REJECT = 5;
  static final int CANCEL = 6;
  static final int LOG = 7;
  static final int SET_TIMER = 8;
  static final int CLOSE_IDLE = 9;
  static final int SEND = 10;
  static final int FAIL = 11;

  /** Names the instance whose actions follow. */
  static final int INSTANCE_SELECTED = 12;

  /** Reports that the routing policy of the instance failed. */
  static final int FAULT = 13;

  private ActionCode() {}
}
