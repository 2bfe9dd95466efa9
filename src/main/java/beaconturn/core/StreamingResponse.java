package beaconturn.core;

/** A response that is forwarded while it is being received. Safe for any thread. */
public interface StreamingResponse {
  /** Tells the producer to stop, as the rest of the response is not needed. */
  void cancel();
}
