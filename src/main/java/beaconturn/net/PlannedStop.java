package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.core.RoutingThread;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.client.Listener;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * The graceful shutdown of a router: serves on while connections still come, then ends each
 * connection as soon as nothing is owed on it.
 *
 * <p>The failure guarded against is a request that was taken and goes without an answer, however
 * long cache servers keep silent: what is still open when the longest deadline is over is answered
 * as failed, also what was read under earlier settings with longer deadlines. The process is killed
 * 0.7 s after the longest deadline, so the last answers are on their way before.
 */
final class PlannedStop {
  private static final Logger LOG = Logger.getLogger(PlannedStop.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * How long new connections are accepted after a planned stop has begun: they still come for up to
   * 0.4 s after it is announced.
   */
  private static final long ACCEPT_ON_MILLIS = 500;

  /** Beyond the longest deadline, what is unanswered for so long is given up. */
  private static final long GIVE_UP_AFTER_DEADLINE_NANOS = 500 * NANOS_PER_MILLI;

  /** Longer deadlines are not waited for: the process is killed soon after. */
  private static final long LONGEST_DEADLINE_NANOS = 3_000 * NANOS_PER_MILLI;

  private static final long LAST_ANSWERS_NANOS = 60 * NANOS_PER_MILLI;
  private static final long POLL_INTERVAL_MILLIS = 5;

  private final RouterInputs inputs;
  private final Clock clock;
  private final ActiveSettings settings;
  private final ClientConnections clients;
  private final RoutingThread routingThread;

  /** Null where no admin address is set. */
  private final OperatorOverrides operators;

  PlannedStop(
      RouterInputs inputs,
      Clock clock,
      ActiveSettings settings,
      ClientConnections clients,
      RoutingThread routingThread,
      OperatorOverrides operators) {
    this.inputs = inputs;
    this.clock = clock;
    this.settings = settings;
    this.clients = clients;
    this.routingThread = routingThread;
    this.operators = operators;
  }

  /**
   * Runs the whole stop on the caller's thread; does nothing if the router is stopping already.
   *
   * @param listener gives the listener, or null where the router does not serve yet
   */
  void run(Supplier<Listener> listener) throws InterruptedException {
    if (!inputs.lifecycle().advance(Lifecycle.Phase.DRAINING)) {
      return;
    }
    long beganNanos = clock.now();
    stopAccepting(listener);
    int givenUp = finishRequests(beganNanos);
    LOG.info(
        "drained in "
            + (clock.now() - beganNanos) / NANOS_PER_MILLI
            + " ms, "
            + givenUp
            + " given up at the end");
    routingThread.stop();
    leaveFleet();
    if (operators != null) {
      operators.close();
    }
    inputs.lifecycle().advance(Lifecycle.Phase.STOPPED);
  }

  private void stopAccepting(Supplier<Listener> listener) throws InterruptedException {
    // From a shared socket the other process accepts; else nobody does, and new connections still
    // come.
    Thread.sleep(inputs.config().sharesListener() ? 0 : ACCEPT_ON_MILLIS);
    Listener open = listener.get();
    if (open != null) {
      open.close();
    }
  }

  /**
   * Ends the connections as their requests are answered, and fails the requests that are still open
   * when the time is over; returns how many those were.
   */
  private int finishRequests(long beganNanos) throws InterruptedException {
    long longestDeadlineNanos =
        Math.min(settings.current().routing().longestDeadlineNanos(), LONGEST_DEADLINE_NANOS);
    endClients(beganNanos + longestDeadlineNanos + GIVE_UP_AFTER_DEADLINE_NANOS);
    int givenUp = clients.count() == 0 ? 0 : routingThread.openRequests();
    routingThread.post(new RoutingMessage.StopRequested());
    endClients(clock.now() + LAST_ANSWERS_NANOS);
    return givenUp;
  }

  /** Ends the connections of clients until there is none, or until that time. */
  private void endClients(long untilNanos) throws InterruptedException {
    while (clients.count() > 0 && clock.now() < untilNanos) {
      clients.drain();
      clients.sweep(clock.now());
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private void leaveFleet() {
    if (inputs.zoneWeights() != null) {
      inputs.zoneWeights().leave();
    }
    if (inputs.hasFleetConfig()) {
      inputs.fleetConfig().leave();
    }
  }
}
