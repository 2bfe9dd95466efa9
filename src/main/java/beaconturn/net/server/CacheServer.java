package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RepeatedEventLog;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.AttemptOutcome;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.logging.Logger;

/**
 * The actor of one cache server: owns the connections to the server and never waits for it.
 *
 * <p>Used by three kinds of threads. The routing thread calls {@link #send}, {@link #abort} and the
 * other methods that post a {@link CacheServerTask}. The {@link CacheServerThread} runs the tasks
 * and owns all fields that are not marked otherwise. Worker threads run one connection each and
 * report through {@link ConnectionReporter}. A connection and its buffers belong to the worker
 * thread that runs an attempt on it, and to this actor while the connection is idle.
 */
final class CacheServer {
  private static final Logger LOG = Logger.getLogger(CacheServer.class.getName());
  private static final int MIN_UNANSWERED_TO_LOG = 3;
  private static final int MIN_MALFORMED_TO_LOG = 1;

  private final CacheServerEnvironment environment;
  private final String host;

  /** The connections in use. Written by the actor, read by the routing thread to abort. */
  private final Map<OutboundAttempt, CacheConnection> inUse = new ConcurrentHashMap<>();

  private final IdleConnections idle;
  private final ReceivedResponseMemory.OfServer responseMemory;
  private final CacheConnectionListener connectionListener;
  private final RepeatedEventLog unanswered;
  private final RepeatedEventLog malformed;
  private InetSocketAddress address;
  private boolean retired;

  /** Counts the calls to close connections; earlier connections are not used again. */
  private int generation;

  /** Open connections, including idle ones. Written by the actor, read by the routing thread. */
  private volatile int connectionCount;

  /** Sends that the actor has handled. Written by the actor, read by the routing thread. */
  private volatile int sendsHandled;

  /** Sends posted to the actor. Routing thread only. */
  private int sendsPosted;

  /** Written by the routing thread, read by any thread. */
  private volatile boolean acceptsRequests = true;

  CacheServer(CacheServerEnvironment environment, String host, InetSocketAddress address) {
    this.environment = environment;
    this.host = host;
    this.address = address;
    this.responseMemory = environment.responseMemory().ofServer();
    this.connectionListener = new ConnectionReporter(this, environment);
    this.idle = new IdleConnections(environment.idleTimeoutNanos(), this::onConnectionClosed);
    this.unanswered =
        new RepeatedEventLog(
            LOG, "cache server " + host + " does not respond to attempts", MIN_UNANSWERED_TO_LOG);
    this.malformed =
        new RepeatedEventLog(
            LOG, "cache server " + host + " sends malformed responses", MIN_MALFORMED_TO_LOG);
  }

  /** Registers the actor with its thread. Called once, before any other method. */
  void start() {
    post(new CacheServerTask.RegisterActor());
  }

  @Override
  public String toString() {
    return host;
  }

  /** Posts an attempt without waiting; false if the mailbox is full. Routing thread only. */
  boolean send(OutboundAttempt attempt) {
    boolean posted =
        environment.thread().offerReserving(this, new CacheServerTask.SendAttempt(attempt));
    if (posted) {
      sendsPosted++;
    }
    return posted;
  }

  /**
   * Resets the attempt's connection before this method returns, so that the request's next attempt
   * does not overlap with this one; never blocks. An attempt that has not been written yet is never
   * written, as it has ended. Routing thread only.
   */
  void abort(OutboundAttempt attempt) {
    CacheConnection connection = inUse.get(attempt);
    if (connection != null) {
      connection.reset();
    }
    post(new CacheServerTask.AbortAttempt(attempt));
  }

  /**
   * Sets whether the server accepts new requests. If not, attempts that are queued or connecting
   * end as superseded, so that no request is written after the router was notified that the server
   * is draining. Any thread.
   */
  void acceptsRequests(boolean accepts) {
    acceptsRequests = accepts;
  }

  /** Whether the server accepts new requests. Any thread. */
  boolean acceptsRequests() {
    return acceptsRequests;
  }

  /**
   * Closes the idle connections, and those in use once their attempts have ended, as they may lead
   * to a process that is gone.
   */
  void closeIdle() {
    post(new CacheServerTask.CloseIdle());
  }

  /** Sets the address of new connections and closes idle connections to any other address. */
  void setAddress(InetSocketAddress newAddress) {
    post(new CacheServerTask.ChangeAddress(newAddress));
  }

  /**
   * Whether no connection is open and no send is queued. Until then the actor must not be dropped,
   * as it may have to abort an attempt. Routing thread only.
   */
  boolean isInactive() {
    return sendsHandled == sendsPosted && connectionCount == 0;
  }

  /** Stops the actor once its last connection is closed. */
  void retire() {
    post(new CacheServerTask.RetireServer());
  }

  private void post(CacheServerTask task) {
    environment.thread().postOrDrop(this, task);
  }

  /** Whether the actor is retired and has no open connection. Actor's thread, as all below. */
  boolean hasEnded() {
    return retired && connectionCount == 0;
  }

  /** Closes expired and dead idle connections, and logs the end of event series. */
  void maintain() {
    idle.closeExpired(now());
    idle.closeDead();
    unanswered.check(now());
    malformed.check(now());
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only the actor's thread writes it.
  void onSend(OutboundAttempt attempt) {
    try {
      startAttempt(attempt);
    } finally {
      sendsHandled = sendsHandled + 1;
    }
  }

  void onAbort(OutboundAttempt attempt) {
    inUse.remove(attempt);
    if (now() >= attempt.timesOutAtNanos()) {
      unanswered.note(now());
    }
  }

  void onConnectionStale(OutboundAttempt attempt) {
    onConnectionClosed();
    if (inUse.remove(attempt) != null) {
      startAttempt(attempt);
    }
  }

  void onMalformedResponse() {
    malformed.note(now());
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only the actor's thread writes it.
  void onConnectionClosed() {
    connectionCount--;
    environment.connectionLimit().release();
  }

  void onAddressChanged(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      LOG.info(host + ": cache server address changed from " + address + " to " + newAddress);
      address = newAddress;
      idle.closeAll();
    }
  }

  void onCloseIdle() {
    generation++;
    idle.closeAll();
  }

  void onRetire() {
    retired = true;
    idle.closeAll();
  }

  void onAttemptEnded(CacheServerTask.AttemptEnded ended) {
    boolean wasInUse = inUse.remove(ended.attempt()) != null;
    AttemptOutcome outcome = ended.outcome();
    if (wasInUse && isConnectionFailure(outcome)) {
      unanswered.note(now());
    } else if (outcome.serverResponded()) {
      unanswered.end();
    }
    if (ended.reusable()) {
      reuseOrClose(ended.connection(), wasInUse, ended.releasedAtNanos());
    }
  }

  private static boolean isConnectionFailure(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.RESET;
  }

  /**
   * Closes the connection if its attempt was aborted, or if it may lead to a former address or
   * process.
   */
  private void reuseOrClose(CacheConnection connection, boolean wasInUse, long idleSinceNanos) {
    boolean current = connection.generation() == generation && connection.address().equals(address);
    if (wasInUse && !retired && current) {
      idle.add(connection, idleSinceNanos);
    } else {
      idle.close(connection);
    }
  }

  private void startAttempt(OutboundAttempt attempt) {
    if (attempt.hasEnded()) {
      return;
    }
    if (!acceptsRequests || !attempt.mayBeWritten(now())) {
      endUnsent(attempt, AttemptOutcome.SUPERSEDED);
      return;
    }
    idle.closeExpired(now());
    CacheConnection settled = idle.takeSettled(now());
    if (settled != null) {
      runOn(attempt, settled);
    } else if (acquireConnection()) {
      runOn(attempt, newConnection());
    } else {
      endUnsent(attempt, AttemptOutcome.NOT_SENT);
    }
  }

  /**
   * Reserves capacity for a new connection, closing the longest idle connection if the limit is
   * reached. This occurs when responses arrive faster than connections settle, as each request then
   * opens a new connection.
   */
  private boolean acquireConnection() {
    if (environment.connectionLimit().tryAcquire()) {
      return true;
    }
    idle.closeOldest();
    return environment.connectionLimit().tryAcquire();
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Only the actor's thread writes it.
  private CacheConnection newConnection() {
    connectionCount++;
    return new CacheConnection(
        address, generation, environment, responseMemory, connectionListener);
  }

  private void runOn(OutboundAttempt attempt, CacheConnection connection) {
    inUse.put(attempt, connection);
    try {
      environment.workers().run(() -> connection.execute(attempt));
    } catch (OutOfMemoryError e) {
      // Nothing was written, so the connection can be released.
      LOG.warning(host + ": cannot start a thread for a cache connection; attempt not sent");
      inUse.remove(attempt);
      connection.close();
      onConnectionClosed();
      endUnsent(attempt, AttemptOutcome.NOT_SENT);
    }
  }

  private void endUnsent(OutboundAttempt attempt, AttemptOutcome outcome) {
    environment
        .routingThread()
        .accept(new RoutingMessage.AttemptCompleted(attempt, AttemptResult.of(outcome, now())));
  }

  private long now() {
    return environment.clock().now();
  }
}
