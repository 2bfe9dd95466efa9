package beaconturn.core;

/**
 * An answer that is passed on while it still comes. Its producer and the call both know it; any
 * thread may call.
 */
public interface StreamingResponse {
  /** Nobody wants the rest: its producer stops. */
  void cancel();
}
