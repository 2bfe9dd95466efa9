package beaconturn.core;

import beaconturn.decision.RoutingEvent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Delivery of events to policies, one at a time: an event that a policy's own action causes is
 * delivered once the policy has handled the event at hand. Routing thread only.
 */
final class EventDispatcher {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());

  private record QueuedEvent(HostedPolicy recipient, RoutingEvent event) {}

  private final Clock clock;
  private final LongConsumer onArrivalFailed;
  private final Queue<QueuedEvent> queue = new ArrayDeque<>();

  /** Nothing to deliver; {@code onArrivalFailed} hears of requests whose arrival failed, by id. */
  EventDispatcher(Clock clock, LongConsumer onArrivalFailed) {
    this.clock = clock;
    this.onArrivalFailed = onArrivalFailed;
  }

  /** Has the event delivered after the one at hand; for what policies do while they handle one. */
  void enqueue(HostedPolicy recipient, RoutingEvent event) {
    queue.add(new QueuedEvent(recipient, event));
  }

  /** Delivers the event, then the events that the policies' own actions caused. */
  void deliver(HostedPolicy recipient, RoutingEvent event) {
    enqueue(recipient, event);
    if (queue.size() > 1) {
      // One is being handled: this one follows it.
      return;
    }
    while (!queue.isEmpty()) {
      handle(queue.element());
      queue.remove();
    }
  }

  /** One event that a policy fails on must not end the router, nor strand its request. */
  private void handle(QueuedEvent next) {
    RoutingEvent event = next.event();
    try {
      next.recipient().handle(clock.now(), event);
    } catch (RuntimeException | StackOverflowError e) {
      LOG.log(Level.SEVERE, "decision module failed on " + event.getClass().getSimpleName(), e);
      if (event instanceof RoutingEvent.RequestArrived arrival) {
        onArrivalFailed.accept(arrival.requestId());
      }
    }
  }
}
