package beaconturn.net.discovery;

import beaconturn.core.EndpointDiscovery;
import beaconturn.core.EndpointUpdate;
import beaconturn.core.RoutingMessage;
import beaconturn.net.discovery.DiscoveryCalls.OpenCall;
import beaconturn.net.io.Threads;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Keeps the router's endpoint list up to date: watches for changes while the routing policy
 * requests it, and fetches the complete list on request. Updates and failures are posted to the
 * routing thread. The public methods are safe for any thread; {@link #watch} and {@link #fetch}
 * never block.
 */
public final class DiscoveryWatcher implements EndpointDiscovery {
  private static final Logger LOG = Logger.getLogger(DiscoveryWatcher.class.getName());

  /**
   * Calls that can be open at a time, each on its own thread: the oldest one, and as many as become
   * overdue within the time-out of another.
   */
  static final int MAX_OPEN_CALLS = 4;

  private static final String PATH = "/registry/instances";

  private final EndpointListParser parser;
  private final Consumer<RoutingMessage> routingThread;
  private final LongSupplier minVersion;
  private final DiscoveryCalls calls;

  /**
   * Keeps updates in order, and those of a former address from being posted after a move. Apart
   * from the lock of the calls, as posting to the routing thread can block.
   */
  private final Object deliveryLock = new Object();

  /** Whether the last outcome that was logged is a failure. Guarded by deliveryLock. */
  private boolean failing;

  /**
   * Creates a watcher, which makes no calls before {@link #start}.
   *
   * @param address discovery's address
   * @param parser parses endpoint lists
   * @param knownVersion the version of the router's initial list
   * @param routingThread receives updates and failures
   * @param minVersion a list with a lower version counts as a failed call
   * @param timing how long calls wait, and when they are overdue
   */
  public DiscoveryWatcher(
      InetSocketAddress address,
      EndpointListParser parser,
      long knownVersion,
      Consumer<RoutingMessage> routingThread,
      LongSupplier minVersion,
      CallTiming timing) {
    this.calls = new DiscoveryCalls(address, knownVersion, timing);
    this.parser = parser;
    this.routingThread = routingThread;
    this.minVersion = minVersion;
  }

  /** Starts the threads that make the calls. */
  public void start() {
    for (int i = 1; i <= MAX_OPEN_CALLS; i++) {
      Threads.supervised("list-call-" + i, this::callLoop);
    }
  }

  /**
   * Moves to another discovery address: aborts open calls and drops their responses. Fetches the
   * complete list at once, as the router counts as notified of changes even if it has not received
   * them.
   */
  public void move(InetSocketAddress newAddress) {
    synchronized (deliveryLock) {
      InetSocketAddress oldAddress = calls.address();
      if (newAddress.equals(oldAddress)) {
        LOG.info("endpoint list: discovery stays at " + newAddress);
        return;
      }
      LOG.info("endpoint list: discovery moves from " + oldAddress + " to " + newAddress);
      calls.move(newAddress);
    }
  }

  @Override
  public void watch(boolean on) {
    calls.watch(on);
  }

  @Override
  public void fetch() {
    calls.fetch();
  }

  private void callLoop() throws InterruptedException {
    DiscoveryClient idle = null;
    while (true) {
      OpenCall call = calls.next(idle);
      idle = perform(call) ? call.client() : null;
    }
  }

  /** Makes a call. Returns whether it was answered, so that its connection can be used again. */
  private boolean perform(OpenCall call) {
    CallSchedule.Call scheduled = call.scheduled();
    if (scheduled.followsOverdueCall()) {
      LOG.info("endpoint list: no response in time; calling again, the open call stays open");
    }
    boolean answered = false;
    try {
      accept(call, request(call));
      answered = true;
    } catch (SocketTimeoutException e) {
      logFailure("no response in " + scheduled.times().timeoutMillis() + " ms");
    } catch (IOException | ProtocolException | RuntimeException | StackOverflowError e) {
      fail(call, e);
    } finally {
      if (!answered) {
        calls.abandoned(call);
        call.client().shutDown();
      }
    }
    return answered;
  }

  private Slice request(OpenCall call) throws IOException, ProtocolException {
    int timeoutMillis = call.scheduled().times().timeoutMillis();
    return call.client().get(path(call), timeoutMillis, () -> calls.outlastsTimeout(call));
  }

  private static String path(OpenCall call) {
    CallSchedule.Call scheduled = call.scheduled();
    if (scheduled.kind() == CallSchedule.Kind.COMPLETE_LIST) {
      return PATH;
    }
    return PATH + "?after=" + call.version() + "&wait_ms=" + scheduled.times().waitMillis();
  }

  /** Delivers the list in the body, unless it is out of date by now. */
  private void accept(OpenCall call, Slice body) throws ProtocolException {
    EndpointUpdate update = parser.read(JsonReader.read(body));
    checkVersion(update);
    synchronized (deliveryLock) {
      if (!calls.accepts(call, update.version())) {
        calls.answered(call);
        return;
      }
      post(update);
      calls.applied(call, update.version());
      if (failing) {
        failing = false;
        LOG.info("endpoint list: calls succeed again, version " + update.version());
      }
    }
  }

  private void checkVersion(EndpointUpdate update) throws ProtocolException {
    long oldest = minVersion.getAsLong();
    if (update.version() < oldest) {
      throw new ProtocolException(
          "list version " + update.version() + " is older than the agreed minimum " + oldest);
    }
  }

  /**
   * Reports a failed call, whatever its cause: without the report, the routing policy would wait
   * for changes that no watch would deliver.
   */
  private void fail(OpenCall call, Throwable reason) {
    synchronized (deliveryLock) {
      if (!calls.failed(call)) {
        return;
      }
      post(EndpointUpdate.failed());
      logFailure(reason.getMessage());
    }
  }

  /** Logs a failure, unless calls have been failing already. */
  private void logFailure(String reason) {
    synchronized (deliveryLock) {
      if (!failing) {
        failing = true;
        LOG.warning("endpoint list: call failed, keeping the current list: " + reason);
      }
    }
  }

  private void post(EndpointUpdate update) {
    routingThread.accept(new RoutingMessage.EndpointUpdateReceived(update));
  }
}
