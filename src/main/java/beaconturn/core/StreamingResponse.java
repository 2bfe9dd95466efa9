package beaconturn.core;

/**
 * An answer that is passed on while it still comes. Its producer and its request both know it; any
 * thread may call.
 */
public interface StreamingResponse {
  /** Has its producer stop, as nobody wants the rest. */
  void cancel();
}
