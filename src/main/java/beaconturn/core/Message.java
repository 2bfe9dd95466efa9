package beaconturn.core;

import beaconturn.decision.Learned;
import beaconturn.decision.Routing;
import java.util.function.Consumer;

/** What can be posted to the module's actor. */
public sealed interface Message {
  /** What goes ahead of requests: it binds soon, whatever waits. */
  sealed interface Urgent extends Message {}

  /** A request has come in whole. */
  record Arrived(Call call) implements Message {}

  /** The client of a request has gone. */
  record Left(Call call) implements Message {}

  /** An attempt has ended. */
  record Ended(Attempt attempt, Outcome outcome) implements Message {}

  /**
   * The answer to an attempt has begun, and goes on as a body; {@code at} is when its first bytes
   * came.
   */
  record FirstBytes(Attempt attempt, long at, Body body) implements Message {}

  /** Discovery has answered or failed. */
  record News(ListNews news) implements Urgent {}

  /**
   * An operator takes a cache server out, or back as one started at {@code at}; {@code known} hears
   * whether anybody has that number. What is {@code told} from elsewhere holds even if nobody has
   * it yet.
   */
  record ByHand(long server, boolean out, long at, boolean told, Consumer<Boolean> known)
      implements Urgent {}

  /** What another process of this router had learned. */
  record Begun(Learned learned) implements Message {}

  /** Keys go to places by these shares from here on. */
  record Placed(Routing.Shares shares) implements Urgent {}

  /** The process is about to end: what is open is answered now, and so is whatever still comes. */
  record Stopping() implements Urgent {}

  /** Other settings are in force from here on. */
  record Switched(Routing.Settings settings, long seed) implements Urgent {}
}
