package beaconturn.core;

import beaconturn.decision.RoutingSettings;
import beaconturn.protocol.Slice;
import java.util.List;

/**
 * One request of a client, whatever protocol it came in. Exactly one of the three answers is given,
 * by the routing thread; none of them may block. Any thread may ask for what the request says.
 */
public interface ClientRequest {
  /** What the request says of itself. */
  RequestDescription description();

  /** The id that its client gave it, for the log. */
  default String id() {
    return "unknown";
  }

  /** The settings that it was read under, which tell its class; null means those in force. */
  default RoutingSettings settings() {
    return null;
  }

  /** Whether the client still waits for its answer. */
  default boolean isAwaited() {
    return true;
  }

  /** When the client stops waiting, by the router's clock. */
  long deadlineNanos();

  /** The request's bytes for a cache server that is told to answer within so many milliseconds. */
  List<Slice> encode(long waitMillis);

  /**
   * Has the client get the answer of a cache server as it comes. What follows is {@link #respond}
   * with null once it is whole, or one of the other answers, at which what was begun is broken off.
   *
   * @throws UnsupportedOperationException if answers of the request's protocol come whole
   */
  default void startStreaming(StreamingResponse response) {
    throw new UnsupportedOperationException("answers of this protocol come whole");
  }

  /** Answers the client as a cache server did; null where the answer has been streamed. */
  void respond(Slice answer);

  /** Rejects the request; the client may come again after so long, where 0 gives no advice. */
  void reject(long retryAfterNanos);

  /** Answers the client that the request failed. */
  void fail();
}
