package beaconturn.core;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The module's thread: takes one message at a time from its mailbox and runs the module's timers.
 */
public final class RoutingThread {
  private static final Logger LOG = Logger.getLogger(RoutingThread.class.getName());
  private static final int MOST_MESSAGES = 8192;
  private static final long LONGEST_WAIT = 1_000_000_000;

  /** Figures of the fleet are to be half a second old at most. */
  private static final long LOOK_EVERY = 200_000_000;

  private final Mailbox<RoutingMessage> mailbox = new Mailbox<>(MOST_MESSAGES);
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final Consumer<RoutingEngine> look;
  private final Consumer<RoutingEngine> before;
  private volatile int open;
  private RoutingEngine host;
  private long lookedAt;

  /** An actor whose module is looked at now and then, on its own thread; null for never. */
  public RoutingThread(Consumer<RoutingEngine> look) {
    this(look, null);
  }

  /**
   * One that also has something looked at {@code before} each step: what the module may decide by
   * can have ended while this thread waited or was kept from running; null for nothing.
   */
  public RoutingThread(Consumer<RoutingEngine> look, Consumer<RoutingEngine> before) {
    this.look = look;
    this.before = before;
  }

  /** Says whom to run; called once, before the thread starts. */
  public void host(RoutingEngine toRun) {
    host = toRun;
  }

  /** Handles a message on the caller's thread, before the actor's own is started. */
  public void begin(RoutingMessage message) {
    step(message);
  }

  /**
   * Posts a message, waiting for room: never called by the module's own thread. News of the list go
   * first: the time in which sends to a draining server must end runs while they wait behind a
   * start's arrivals. So do operators' calls and new settings, which bind soon whatever the load.
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
  public int open() {
    return open;
  }

  /** Ends the thread after the message at hand. */
  public void stop() {
    stopped.set(true);
  }

  /** Runs until it is stopped or interrupted. */
  public void run() throws InterruptedException {
    while (!stopped.get()) {
      RoutingMessage message =
          mailbox.poll(host.untilNext(look == null && before == null ? LONGEST_WAIT : LOOK_EVERY));
      step(message);
      open = host.open();
      if (look != null && System.nanoTime() - lookedAt >= LOOK_EVERY) {
        lookedAt = System.nanoTime();
        look.accept(host);
      }
    }
  }

  private void step(RoutingMessage message) {
    try {
      if (before != null) {
        before.accept(host);
      }
      if (message != null) {
        host.handle(message);
      }
      host.runDue();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, "module actor failed on a message and goes on", e);
    }
  }
}
