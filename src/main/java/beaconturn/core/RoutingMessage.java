package beaconturn.core;

import beaconturn.decision.RoutingSettings;
import beaconturn.decision.WarmStartState;
import beaconturn.decision.ZoneWeights;
import java.util.function.Consumer;

/** A message to the routing thread. Immutable; any thread may create and post one. */
public sealed interface RoutingMessage {
  /** A message that overtakes queued requests, because it must take effect under any load. */
  sealed interface Urgent extends RoutingMessage {}

  /** A complete request was received from a client. */
  record RequestReceived(ClientRequest request) implements RoutingMessage {}

  /** The client of a request closed its connection. */
  record ClientDisconnected(ClientRequest request) implements RoutingMessage {}

  /** An attempt ended with a result. */
  record AttemptCompleted(OutboundAttempt attempt, AttemptResult result)
      implements RoutingMessage {}

  /**
   * The first bytes of an attempt's response were received; the response is streamed.
   *
   * @param attempt the attempt
   * @param startedAtNanos when the first bytes were received, by the router's clock
   * @param response the response that is being received
   */
  record StreamingStarted(OutboundAttempt attempt, long startedAtNanos, StreamingResponse response)
      implements RoutingMessage {}

  /** The routing state of the previous process of this router was received. */
  record WarmStartReceived(WarmStartState state) implements RoutingMessage {}

  /** Discovery returned an endpoint list, or a call to it failed. */
  record EndpointUpdateReceived(EndpointUpdate update) implements Urgent {}

  /**
   * An operator excluded a cache server or lifted its exclusion.
   *
   * @param serverId the cache server
   * @param excluded whether the server is excluded from now on
   * @param atNanos when the operator made the change; the slow start of a readmitted server counts
   *     from then
   * @param allowUnlisted whether the override applies even if no server with that id is listed
   * @param onApplied called on the routing thread with whether the override was applied
   */
  record OverrideRequested(
      long serverId,
      boolean excluded,
      long atNanos,
      boolean allowUnlisted,
      Consumer<Boolean> onApplied)
      implements Urgent {}

  /** New zone weights apply from now on. */
  record ZoneWeightsReceived(ZoneWeights weights) implements Urgent {}

  /** The process stops: open requests fail now, and requests received later are rejected. */
  record StopRequested() implements Urgent {}

  /** New routing settings apply from now on. */
  record SettingsReplaced(RoutingSettings settings, long seed) implements Urgent {}
}
