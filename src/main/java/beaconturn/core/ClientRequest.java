package beaconturn.core;

import beaconturn.decision.RoutingSettings;
import beaconturn.protocol.Slice;
import java.util.List;

/**
 * One request of a client, whatever protocol it came in. Exactly one of the three answers is given,
 * by the module's thread; none of them may block.
 */
public interface ClientRequest {
  /** What the request says of itself. */
  Ask ask();

  /** The id that its client gave it, for the log. */
  default String id() {
    return "unknown";
  }

  /** The settings that it was read under, which tell its class; null means those in force. */
  default RoutingSettings settings() {
    return null;
  }

  /** Whether the client still waits for its answer; any thread may ask. */
  default boolean waits() {
    return true;
  }

  /** When the client stops waiting. */
  long deadline();

  /** The request's bytes for a cache server that is told to answer within so many milliseconds. */
  List<Slice> forwarded(long waitMillis);

  /**
   * The client gets the answer of a cache server as it comes. What follows is {@link #served} with
   * no bytes once it is whole, or one of the other answers, at which what was begun is broken off.
   */
  default void begun(StreamingResponse body) {
    throw new UnsupportedOperationException("answers of this protocol come whole");
  }

  /** The client gets the answer of a cache server. */
  void served(Slice answer);

  /** The client is refused and may come again after so many nanoseconds; 0 gives no advice. */
  void refused(long retryAfter);

  /** The client is told that the request failed. */
  void failed();

  /** What a request says of itself; {@code hint} and {@code key} 0 mean none. */
  record Ask(
      int requestClass,
      long key,
      boolean write,
      boolean clientRetry,
      int tenant,
      long hint,
      double size) {}
}
