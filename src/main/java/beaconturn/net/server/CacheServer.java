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
 * One cache server: an actor that owns the connections to it and never waits for the peer.
 *
 * <p>Three kinds of threads meet here. The routing thread calls {@link #send}, {@link #abort} and
 * the other methods that post a {@link CacheServerTask}. The {@link CacheServerThread} runs the
 * tasks and owns all fields that are not marked otherwise. Worker threads run one connection each
 * and report through {@link ConnectionReporter}. A connection, with its buffers, belongs to the
 * worker that carries an attempt on it, and to this actor while it is idle.
 */
final class CacheServer {
  private static final Logger LOG = Logger.getLogger(CacheServer.class.getName());
  private static final int UNANSWERED_TO_LOG = 3;
  private static final int UNREADABLE_TO_LOG = 1;

  private final CacheServerEnvironment environment;
  private final String host;

  /** The connections in use; written by the actor, read by the routing thread to abort. */
  private final Map<OutboundAttempt, CacheConnection> inUse = new ConcurrentHashMap<>();

  private final IdleConnections idle;
  private final CacheConnectionListener connectionListener;
  private final RepeatedEventLog unanswered;
  private final RepeatedEventLog unreadable;
  private InetSocketAddress address;
  private boolean retired;

  /** Open connections, idle ones included; written by the actor, read by the routing thread. */
  private volatile int connectionCount;

  /** Sends that the actor has handled; written by the actor, read by the routing thread. */
  private volatile int sendsHandled;

  /** Sends that were posted to the actor; for the routing thread alone. */
  private int sendsPosted;

  /** Set by the routing thread, read by all. */
  private volatile boolean acceptsRequests = true;

  CacheServer(CacheServerEnvironment environment, String host, InetSocketAddress address) {
    this.environment = environment;
    this.host = host;
    this.address = address;
    this.connectionListener = new ConnectionReporter(this, environment);
    this.idle = new IdleConnections(environment.idleTimeoutNanos(), this::onConnectionClosed);
    this.unanswered =
        new RepeatedEventLog(
            LOG, "cache server " + host + " leaves attempts unanswered", UNANSWERED_TO_LOG);
    this.unreadable =
        new RepeatedEventLog(
            LOG, "cache server " + host + " sends what cannot be read", UNREADABLE_TO_LOG);
  }

  /** Makes the actor known to its thread; called once, before anything else. */
  void start() {
    tell(new CacheServerTask.JoinThread());
  }

  @Override
  public String toString() {
    return host;
  }

  /** Posts an attempt without waiting; false if there is no room. For the routing thread. */
  boolean send(OutboundAttempt attempt) {
    boolean posted =
        environment.thread().offerReserving(this, new CacheServerTask.SendAttempt(attempt));
    if (posted) {
      sendsPosted++;
    }
    return posted;
  }

  /**
   * Ends the attempt's connection before this method returns, so that another attempt sent next
   * never meets it at a server; closing a socket does not wait. An attempt that has not begun yet
   * will not begin, as it is over. For the routing thread.
   */
  void abort(OutboundAttempt attempt) {
    CacheConnection used = inUse.get(attempt);
    if (used != null) {
      used.reset();
    }
    tell(new CacheServerTask.AbortAttempt(attempt));
  }

  /**
   * Sets whether the server takes new requests; if not, a send that still waits here or for its
   * connection ends as superseded: the failure guarded against is a request that reaches a server
   * after the router was notified that it drains. Any thread may call it.
   */
  void acceptsRequests(boolean accepts) {
    acceptsRequests = accepts;
  }

  /** Whether the server takes new requests; any thread. */
  boolean acceptsRequests() {
    return acceptsRequests;
  }

  void closeIdle() {
    tell(new CacheServerTask.CloseIdle());
  }

  /** Has new connections go to that address, and closes idle ones to another. */
  void address(InetSocketAddress newAddress) {
    tell(new CacheServerTask.ChangeAddress(newAddress));
  }

  /**
   * Whether no connection is open and no send waits to be handled. An actor that was dropped before
   * that could no longer abort the attempt of such a send. For the routing thread.
   */
  boolean isQuiet() {
    return sendsHandled == sendsPosted && connectionCount == 0;
  }

  /** Ends the actor once its last connection is closed. */
  void retire() {
    tell(new CacheServerTask.RetireServer());
  }

  private void tell(CacheServerTask task) {
    environment.thread().tell(this, task);
  }

  /** Whether it was retired and no connection is open. For the actor's thread, as all below. */
  boolean hasEnded() {
    return retired && connectionCount == 0;
  }

  /** Closes connections that are idle for too long or dead, and logs what has ended. */
  void maintain() {
    idle.closeExpired(now());
    idle.closeDead();
    unanswered.check(now());
    unreadable.check(now());
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Written by the actor's thread alone.
  void onSend(OutboundAttempt attempt) {
    try {
      begin(attempt);
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
      begin(attempt);
    }
  }

  void onUnreadableResponse() {
    unreadable.note(now());
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Written by the actor's thread alone.
  void onConnectionClosed() {
    connectionCount--;
    environment.connectionLimit().release();
  }

  void onAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      LOG.info(host + ": address changes from " + address + " to " + newAddress);
      address = newAddress;
      idle.closeAll();
    }
  }

  void onCloseIdle() {
    idle.closeAll();
  }

  void onRetire() {
    retired = true;
    idle.closeAll();
  }

  void onAttemptEnded(CacheServerTask.AttemptEnded ended) {
    boolean wasInUse = inUse.remove(ended.attempt()) != null;
    AttemptOutcome outcome = ended.result().outcome();
    if (wasInUse && isConnectionFailure(outcome)) {
      unanswered.note(now());
    } else if (outcome.serverResponded()) {
      unanswered.end();
    }
    if (ended.reusable()) {
      keepOrClose(ended.connection(), wasInUse, ended.result().endedAtNanos());
    }
  }

  private static boolean isConnectionFailure(AttemptOutcome outcome) {
    return outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.RESET;
  }

  /** A connection whose attempt was aborted meanwhile is closed, as is one to an old address. */
  private void keepOrClose(CacheConnection connection, boolean wasInUse, long idleSinceNanos) {
    if (wasInUse && !retired && connection.address().equals(address)) {
      idle.add(connection, idleSinceNanos);
    } else {
      idle.close(connection);
    }
  }

  private void begin(OutboundAttempt attempt) {
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
      carry(attempt, settled);
    } else if (acquireConnection()) {
      carry(attempt, newConnection());
    } else {
      endUnsent(attempt, AttemptOutcome.NOT_SENT);
    }
  }

  /**
   * Takes a place among the connections for a new one; where none is free, the one idle for longest
   * makes room. That happens where responses come faster than connections settle, so that each
   * request takes a new one.
   */
  private boolean acquireConnection() {
    if (environment.connectionLimit().tryAcquire()) {
      return true;
    }
    idle.closeOldest();
    return environment.connectionLimit().tryAcquire();
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Written by the actor's thread alone.
  private CacheConnection newConnection() {
    connectionCount++;
    return new CacheConnection(address, environment, connectionListener);
  }

  private void carry(OutboundAttempt attempt, CacheConnection connection) {
    inUse.put(attempt, connection);
    try {
      environment.workers().run(() -> connection.carry(attempt));
    } catch (OutOfMemoryError e) {
      // No thread could be had for it: nothing was written, and the connection is given back.
      LOG.warning(host + ": no thread for a connection");
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
