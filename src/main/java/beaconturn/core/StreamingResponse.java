package beaconturn.core;

/** A response that is forwarded while it is being received. Safe for any thread. */
public interface StreamingResponse {
  /** Stops receiving the response, whose remainder is not needed. */
  void cancel();
}
