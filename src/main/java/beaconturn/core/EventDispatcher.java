package beaconturn.core;

import beaconturn.decision.RoutingEvent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Delivers events to policies one at a time: an event that a policy's action causes is delivered
 * after the policy has handled the current event. Confined to the routing thread.
 */
final class EventDispatcher {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());

  private record QueuedEvent(HostedPolicy recipient, RoutingEvent event) {}

  private final Clock clock;
  private final LongConsumer onArrivalFailure;
  private final Queue<QueuedEvent> queue = new ArrayDeque<>();

  /**
   * Creates a dispatcher with an empty queue.
   *
   * @param onArrivalFailure receives the id of each request whose arrival a policy failed to handle
   */
  EventDispatcher(Clock clock, LongConsumer onArrivalFailure) {
    this.clock = clock;
    this.onArrivalFailure = onArrivalFailure;
  }

  /** Queues an event that a policy's action causes, for delivery after the current event. */
  void enqueue(HostedPolicy recipient, RoutingEvent event) {
    queue.add(new QueuedEvent(recipient, event));
  }

  /** Delivers the event, then the events that the policies' actions cause. */
  void deliver(HostedPolicy recipient, RoutingEvent event) {
    enqueue(recipient, event);
    if (queue.size() > 1) {
      // An outer call of this method delivers the queued event.
      return;
    }
    while (!queue.isEmpty()) {
      handle(queue.element());
      queue.remove();
    }
  }

  /** Contains a policy's failure, which must neither stop the router nor leave a request open. */
  private void handle(QueuedEvent next) {
    RoutingEvent event = next.event();
    try {
      next.recipient().handle(clock.now(), event);
    } catch (RuntimeException | StackOverflowError e) {
      LOG.log(
          Level.SEVERE, "routing policy failed to handle " + event.getClass().getSimpleName(), e);
      if (event instanceof RoutingEvent.RequestArrived arrival) {
        onArrivalFailure.accept(arrival.requestId());
      }
    }
  }
}
