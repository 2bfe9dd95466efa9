package beaconturn.core;

import beaconturn.decision.RoutingSettings;
import beaconturn.protocol.Slice;
import java.util.List;

/**
 * A client's request, independent of its protocol. The routing thread completes it exactly once, by
 * {@link #respond}, {@link #reject} or {@link #fail}, none of which may block. Any thread may read
 * its properties.
 */
public interface ClientRequest {
  /** The properties that the policy decides by. */
  RequestDescription description();

  /** The id that the client assigned, for logs. */
  default String id() {
    return "unknown";
  }

  /**
   * The settings that the request was read under, which define its class; null for the current
   * settings.
   */
  default RoutingSettings settings() {
    return null;
  }

  /** Whether the client still waits for the response. */
  default boolean isAwaited() {
    return true;
  }

  /**
   * Whether the client still waits, as far as can be known now. Called right before an attempt is
   * written; may block for a part of a second after the process was stopped. Not for the routing
   * thread.
   */
  default boolean confirmAwaited() {
    return isAwaited();
  }

  /**
   * Called right before the bytes of an attempt are written; false if the request was completed
   * meanwhile, and nothing may be written. From then on the request may have been executed.
   */
  default boolean startAttempt() {
    return true;
  }

  /** When the client stops waiting, in nanoseconds of the router's clock. */
  long deadlineNanos();

  /**
   * Encodes the request for a cache server; {@code waitMillis} is the time limit stated in the
   * encoded request. The value may be missing if the request is completed meanwhile, so the caller
   * checks {@link #isAwaited} again before it writes the result.
   */
  List<Slice> encode(long waitMillis);

  /**
   * Starts streaming a cache server's response to the client. Once the response is complete, {@link
   * #respond} follows with null; {@link #reject} or {@link #fail} instead abort the stream.
   *
   * @throws UnsupportedOperationException if the request's protocol does not stream responses
   */
  default void startStreaming(StreamingResponse response) {
    throw new UnsupportedOperationException("the protocol does not stream responses");
  }

  /** Forwards a cache server's response to the client; null if the response was streamed. */
  void respond(Slice response);

  /** Rejects the request; the client may retry after {@code retryAfterNanos}, 0 for no advice. */
  void reject(long retryAfterNanos);

  /** Sends the client an error response. */
  void fail();
}
