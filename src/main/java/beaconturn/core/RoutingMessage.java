package beaconturn.core;

import beaconturn.decision.RoutingSettings;
import beaconturn.decision.WarmStartState;
import beaconturn.decision.ZoneWeights;
import java.util.function.Consumer;

/** A message to the routing thread; any thread may make and post one. */
public sealed interface RoutingMessage {
  /** A message that goes ahead of requests: it binds soon, whatever waits. */
  sealed interface Urgent extends RoutingMessage {}

  /** A request has come in whole. */
  record RequestReceived(ClientRequest request) implements RoutingMessage {}

  /** The client of a request has gone. */
  record ClientDisconnected(ClientRequest request) implements RoutingMessage {}

  /** An attempt has ended. */
  record AttemptCompleted(OutboundAttempt attempt, AttemptResult result)
      implements RoutingMessage {}

  /**
   * The answer to an attempt has begun, and goes on as a stream.
   *
   * @param attempt the attempt
   * @param startedAtNanos when the answer's first bytes came
   * @param response the answer
   */
  record StreamingStarted(OutboundAttempt attempt, long startedAtNanos, StreamingResponse response)
      implements RoutingMessage {}

  /** What another process of this router had learned. */
  record WarmStartReceived(WarmStartState state) implements RoutingMessage {}

  /** Discovery has answered or failed. */
  record EndpointUpdateReceived(EndpointUpdate update) implements Urgent {}

  /**
   * An operator excludes a cache server, or takes it back.
   *
   * @param serverId the cache server
   * @param excluded whether it is to be out of use
   * @param atNanos since when it counts as started, where it is taken back
   * @param allowUnlisted whether the override holds even if no listed server has that number yet
   * @param onApplied hears, on the routing thread, whether the override is in force
   */
  record OverrideRequested(
      long serverId,
      boolean excluded,
      long atNanos,
      boolean allowUnlisted,
      Consumer<Boolean> onApplied)
      implements Urgent {}

  /** Keys go to zones by these weights from here on. */
  record ZoneWeightsReceived(ZoneWeights weights) implements Urgent {}

  /** The process is about to end: what is open is answered now, and so is whatever still comes. */
  record StopRequested() implements Urgent {}

  /** Other settings are in force from here on. */
  record SettingsReplaced(RoutingSettings settings, long seed) implements Urgent {}
}
