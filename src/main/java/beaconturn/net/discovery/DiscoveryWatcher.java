package beaconturn.net.discovery;

import beaconturn.core.EndpointDiscovery;
import beaconturn.core.EndpointUpdate;
import beaconturn.core.Mailbox;
import beaconturn.core.RoutingMessage;
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
 * Keeps the router's endpoint list up to date with two threads: one watches for changes while the
 * routing policy requests it, one fetches the complete list on request. Updates and failures are
 * posted to the routing thread. The public methods never block and are safe for any thread.
 */
public final class DiscoveryWatcher implements EndpointDiscovery {
  private static final Logger LOG = Logger.getLogger(DiscoveryWatcher.class.getName());
  private static final int MAILBOX_CAPACITY = 64;

  /**
   * Leaves time for another fetch before the router counts as notified of a change that the first
   * fetch missed.
   */
  private static final int FETCH_TIMEOUT_MILLIS = 2_000;

  /** Makes the first watch return immediately with the changes since the initial list. */
  private static final int FIRST_WAIT_MILLIS = 1;

  private static final String PATH = "/registry/instances";

  private final EndpointListParser parser;
  private final LongSupplier minVersion;
  private final WatchBackoff backoff;
  private final DiscoveryTarget target;
  private final Mailbox<Boolean> watchRequests = new Mailbox<>(MAILBOX_CAPACITY);
  private final Mailbox<Boolean> fetchRequests = new Mailbox<>(MAILBOX_CAPACITY);

  // Confined to the watch thread; fields, as its loop is restarted after a failure.
  private boolean watching;
  private boolean lastWatchSucceeded = true;
  private boolean discoveryResponded;

  /**
   * Creates a watcher, which makes no calls before {@link #start}.
   *
   * @param address discovery's address
   * @param parser parses endpoint lists
   * @param knownVersion the version of the router's initial list
   * @param routingThread receives updates and failures
   * @param minVersion a list with a lower version counts as a failed call
   * @param backoff how long watches wait
   */
  public DiscoveryWatcher(
      InetSocketAddress address,
      EndpointListParser parser,
      long knownVersion,
      Consumer<RoutingMessage> routingThread,
      LongSupplier minVersion,
      WatchBackoff backoff) {
    this.target = new DiscoveryTarget(address, knownVersion, routingThread);
    this.parser = parser;
    this.minVersion = minVersion;
    this.backoff = backoff;
  }

  /** Starts both threads. */
  public void start() {
    Threads.supervised("list-watch", this::watchLoop);
    Threads.supervised("list-fetch", this::fetchLoop);
  }

  /**
   * Moves to another discovery address: aborts open calls and drops their responses. Fetches the
   * complete list at once, as the router counts as notified of changes even if it has not received
   * them.
   */
  public synchronized void move(InetSocketAddress newAddress) {
    InetSocketAddress oldAddress = target.address();
    if (newAddress.equals(oldAddress)) {
      LOG.info("endpoint list: discovery stays at " + newAddress);
      return;
    }
    LOG.info("endpoint list: discovery moves from " + oldAddress + " to " + newAddress);
    target.move(newAddress);
    watch(true);
  }

  @Override
  public void watch(boolean on) {
    request(watchRequests, on);
  }

  @Override
  public void fetch() {
    request(fetchRequests, true);
  }

  private static void request(Mailbox<Boolean> requests, boolean on) {
    if (!requests.offer(on)) {
      LOG.warning("endpoint list: " + MAILBOX_CAPACITY + " calls are queued; request dropped");
    }
  }

  /** Repeats watch calls until one fails; the policy then decides when to resume. */
  private void watchLoop() throws InterruptedException {
    while (true) {
      Boolean requested = watching ? watchRequests.poll(0) : watchRequests.take();
      if (requested != null) {
        watching = requested;
      }
      if (watching) {
        watching = watchOnce();
        lastWatchSucceeded = watching;
      }
    }
  }

  private boolean watchOnce() {
    DiscoveryTarget.WatchStart start = target.watchStart();
    if (start.version() == DiscoveryTarget.NO_VERSION) {
      return fetchList(start.client(), lastWatchSucceeded);
    }
    int waitMillis = discoveryResponded ? backoff.nextWaitMillis() : FIRST_WAIT_MILLIS;
    String path = PATH + "?after=" + start.version() + "&wait_ms=" + waitMillis;
    try {
      Slice body = start.client().get(path, waitMillis + backoff.silenceMarginMillis());
      discoveryResponded = true;
      return accept(start.client(), body, lastWatchSucceeded);
    } catch (SocketTimeoutException e) {
      // The connection is dead. Retry at once without backoff, as the router soon counts as
      // notified of missed changes; the random waits spread the calls of the affected routers.
      LOG.info("endpoint list: watch timed out without a response; reconnecting");
      return true;
    } catch (IOException | ProtocolException | RuntimeException | StackOverflowError e) {
      return fail(start.client(), e, lastWatchSucceeded);
    }
  }

  private void fetchLoop() throws InterruptedException {
    boolean lastFetchSucceeded = true;
    while (fetchRequests.take()) {
      lastFetchSucceeded = fetchList(target.fetchClient(), lastFetchSucceeded);
    }
  }

  private boolean fetchList(DiscoveryClient client, boolean lastSucceeded) {
    try {
      return accept(client, client.get(PATH, FETCH_TIMEOUT_MILLIS), lastSucceeded);
    } catch (IOException | ProtocolException | RuntimeException | StackOverflowError e) {
      return fail(client, e, lastSucceeded);
    }
  }

  /** Delivers the list in the body; logs the first success after a failure. */
  private boolean accept(DiscoveryClient client, Slice body, boolean lastSucceeded)
      throws ProtocolException {
    EndpointUpdate update = parser.read(JsonReader.read(body));
    if (update.version() < minVersion.getAsLong()) {
      throw new ProtocolException(
          "list version "
              + update.version()
              + " is older than the agreed minimum "
              + minVersion.getAsLong());
    }
    if (target.deliver(client, update) && !lastSucceeded) {
      LOG.info("endpoint list: calls succeed again, version " + update.version());
    }
    return true;
  }

  /**
   * Reports a failed call, whatever its cause: without the report, the routing policy would wait
   * for changes that no watch would deliver. Returns whether to continue watching: true if
   * discovery has moved meanwhile, as a failure at the former address does not matter.
   */
  private boolean fail(DiscoveryClient client, Throwable reason, boolean lastSucceeded) {
    boolean moved = !target.deliver(client, EndpointUpdate.failed());
    if (!moved && lastSucceeded) {
      LOG.warning("endpoint list: call failed, keeping the current list: " + reason.getMessage());
    }
    return moved;
  }
}
