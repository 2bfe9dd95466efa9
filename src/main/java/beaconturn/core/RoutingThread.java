package beaconturn.core;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The thread that decides: it takes one message at a time from its mailbox, has the {@link
 * RoutingEngine} handle it, and runs the timers that are due. Any thread may post.
 */
public final class RoutingThread {
  private static final Logger LOG = Logger.getLogger(RoutingThread.class.getName());
  private static final int MAILBOX_CAPACITY = 8192;
  private static final long MAX_WAIT_NANOS = 1_000_000_000;

  /**
   * How often the observer looks: metrics of the cache servers may be half a second old at most.
   */
  private static final long OBSERVE_EVERY_NANOS = 200_000_000;

  private final Mailbox<RoutingMessage> mailbox = new Mailbox<>(MAILBOX_CAPACITY);
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final Consumer<RoutingEngine> observer;
  private final Consumer<RoutingEngine> beforeEachStep;

  /** Written by the routing thread, read by any. */
  private volatile int openRequests;

  // Routing thread only, but for what is set before it starts.
  private RoutingEngine engine;
  private long observedAtNanos;

  /**
   * A thread whose engine the observer looks at several times a second, on that thread; null for
   * never.
   */
  public RoutingThread(Consumer<RoutingEngine> observer) {
    this(observer, null);
  }

  /**
   * A thread that also runs an action before each step, as the configuration that the policy may
   * decide by can have ended while this thread waited or was kept from running; null for none.
   */
  public RoutingThread(Consumer<RoutingEngine> observer, Consumer<RoutingEngine> beforeEachStep) {
    this.observer = observer;
    this.beforeEachStep = beforeEachStep;
  }

  /** Sets the engine to run; called once, before the thread starts. */
  public void setEngine(RoutingEngine toRun) {
    engine = toRun;
  }

  /** Handles a message on the caller's thread, before the routing thread is started. */
  public void handleBeforeStart(RoutingMessage message) {
    step(message);
  }

  /**
   * Posts a message, waiting for room: never called by the routing thread itself. Changes of the
   * endpoint list go first: the time in which sends to a draining server must end runs while they
   * wait behind a start's requests. So do operators' overrides and new settings, which bind soon
   * whatever the load.
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

  /** How many requests wait for their answer, as of the last message. */
  public int openRequests() {
    return openRequests;
  }

  /** Ends the thread after the message at hand. */
  public void stop() {
    stopped.set(true);
  }

  /** Runs until it is stopped or interrupted. */
  public void run() throws InterruptedException {
    while (!stopped.get()) {
      RoutingMessage message = mailbox.poll(engine.untilNextTimerNanos(maxWaitNanos()));
      step(message);
      openRequests = engine.openRequests();
      if (observer != null && System.nanoTime() - observedAtNanos >= OBSERVE_EVERY_NANOS) {
        observedAtNanos = System.nanoTime();
        observer.accept(engine);
      }
    }
  }

  /** How long the thread may wait for a message before it looks at its engine again. */
  private long maxWaitNanos() {
    boolean looks = observer != null || beforeEachStep != null;
    return looks ? OBSERVE_EVERY_NANOS : MAX_WAIT_NANOS;
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
      LOG.log(Level.SEVERE, "module actor failed on a message and goes on", e);
    }
  }
}
