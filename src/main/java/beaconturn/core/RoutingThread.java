package beaconturn.core;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The thread on which all routing decisions are made: takes one message at a time from its mailbox,
 * passes it to the {@link RoutingEngine} and runs the timers that are due. Any thread may post.
 */
public final class RoutingThread {
  private static final Logger LOG = Logger.getLogger(RoutingThread.class.getName());
  private static final int MAILBOX_CAPACITY = 8192;
  private static final long MAX_WAIT_NANOS = 1_000_000_000;

  /** Keeps the exported cache server metrics less than half a second old. */
  private static final long OBSERVATION_INTERVAL_NANOS = 200_000_000;

  private final Mailbox<RoutingMessage> mailbox = new Mailbox<>(MAILBOX_CAPACITY);
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final Consumer<RoutingEngine> observer;
  private final Consumer<RoutingEngine> beforeEachStep;

  /** Written by the routing thread, read by any thread. */
  private volatile int openRequests;

  // Confined to the routing thread once it has started.
  private RoutingEngine engine;
  private long lastObservationNanos;

  /**
   * Creates a routing thread.
   *
   * @param observer called on the routing thread several times a second; null for none
   */
  public RoutingThread(Consumer<RoutingEngine> observer) {
    this(observer, null);
  }

  /**
   * Creates a routing thread that also runs an action before each step.
   *
   * @param observer called on the routing thread several times a second; null for none
   * @param beforeEachStep checks that the policy's configuration is still valid, which may have
   *     expired while this thread waited or was not scheduled; null for none
   */
  public RoutingThread(Consumer<RoutingEngine> observer, Consumer<RoutingEngine> beforeEachStep) {
    this.observer = observer;
    this.beforeEachStep = beforeEachStep;
  }

  /** Sets the engine to run. Called once, before the thread starts. */
  public void setEngine(RoutingEngine newEngine) {
    engine = newEngine;
  }

  /** Handles a message on the caller's thread. Only before the routing thread starts. */
  public void handleBeforeStart(RoutingMessage message) {
    step(message);
  }

  /**
   * Posts a message; blocks while the mailbox is full, so the routing thread itself must not call
   * it. Urgent messages overtake requests: the grace period of a draining server elapses while an
   * endpoint update is queued, and overrides and new settings must take effect under any load.
   */
  public void post(RoutingMessage message) {
    try {
      if (message instanceof RoutingMessage.Urgent) {
        mailbox.putFirst(message);
      } else {
        mailbox.put(message);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The number of requests without a response, as of the last handled message. */
  public int openRequests() {
    return openRequests;
  }

  /** Stops the thread after the current message. */
  public void stop() {
    stopped.set(true);
  }

  /** Handles messages and due timers until the thread is stopped or interrupted. */
  public void run() throws InterruptedException {
    while (!stopped.get()) {
      RoutingMessage message = mailbox.poll(engine.untilNextTimerNanos(maxWaitNanos()));
      step(message);
      openRequests = engine.openRequests();
      if (observer != null
          && System.nanoTime() - lastObservationNanos >= OBSERVATION_INTERVAL_NANOS) {
        lastObservationNanos = System.nanoTime();
        observer.accept(engine);
      }
    }
  }

  /** The longest wait for a message before the observer and the step action run again. */
  private long maxWaitNanos() {
    boolean stepsPeriodically = observer != null || beforeEachStep != null;
    return stepsPeriodically ? OBSERVATION_INTERVAL_NANOS : MAX_WAIT_NANOS;
  }

  private void step(RoutingMessage message) {
    try {
      if (beforeEachStep != null) {
        beforeEachStep.accept(engine);
      }
      if (message != null) {
        engine.handle(message);
      }
      engine.runDueTimers();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, "routing engine failed to handle a message; continuing", e);
    }
  }
}
