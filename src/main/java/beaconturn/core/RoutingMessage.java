package beaconturn.core;

import beaconturn.decision.RoutingSettings;
import beaconturn.decision.WarmStartState;
import beaconturn.decision.ZoneWeights;
import java.util.function.Consumer;

/** What can be posted to the module's actor. */
public sealed interface RoutingMessage {
  /** What goes ahead of requests: it binds soon, whatever waits. */
  sealed interface Urgent extends RoutingMessage {}

  /** A request has come in whole. */
  record Arrived(ClientRequest call) implements RoutingMessage {}

  /** The client of a request has gone. */
  record Left(ClientRequest call) implements RoutingMessage {}

  /** An attempt has ended. */
  record Ended(OutboundAttempt attempt, AttemptResult outcome) implements RoutingMessage {}

  /**
   * The answer to an attempt has begun, and goes on as a body; {@code at} is when its first bytes
   * came.
   */
  record FirstBytes(OutboundAttempt attempt, long at, StreamingResponse body)
      implements RoutingMessage {}

  /** Discovery has answered or failed. */
  record News(EndpointUpdate news) implements Urgent {}

  /**
   * An operator takes a cache server out, or back as one started at {@code at}; {@code known} hears
   * whether anybody has that number. What is {@code told} from elsewhere holds even if nobody has
   * it yet.
   */
  record ByHand(long server, boolean out, long at, boolean told, Consumer<Boolean> known)
      implements Urgent {}

  /** What another process of this router had learned. */
  record Begun(WarmStartState learned) implements RoutingMessage {}

  /** Keys go to places by these shares from here on. */
  record Placed(ZoneWeights shares) implements Urgent {}

  /** The process is about to end: what is open is answered now, and so is whatever still comes. */
  record Stopping() implements Urgent {}

  /** Other settings are in force from here on. */
  record Switched(RoutingSettings settings, long seed) implements Urgent {}
}
