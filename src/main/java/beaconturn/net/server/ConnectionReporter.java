package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RoutingMessage;
import beaconturn.net.io.BoundedPipe;

/**
 * Reports events on the connections of one cache server to its actor and to the routing thread.
 * Runs on worker threads, which may block while a mailbox is full.
 */
final class ConnectionReporter implements CacheConnectionListener {
  private final CacheServer server;
  private final CacheServerEnvironment environment;

  ConnectionReporter(CacheServer server, CacheServerEnvironment environment) {
    this.server = server;
    this.environment = environment;
  }

  @Override
  public boolean mayWrite() {
    return server.acceptsRequests() && environment.mayWrite().getAsBoolean();
  }

  @Override
  public void attemptEnded(
      CacheConnection connection, OutboundAttempt attempt, AttemptResult result, boolean reusable) {
    // Notify the actor first, so that the routing thread's next attempt finds the connection idle.
    post(
        new CacheServerTask.AttemptEnded(
            connection, attempt, result.outcome(), environment.clock().now(), reusable));
    environment.routingThread().accept(new RoutingMessage.AttemptCompleted(attempt, result));
  }

  @Override
  public void responseStarted(OutboundAttempt attempt, long atNanos, BoundedPipe pipe) {
    environment.routingThread().accept(new RoutingMessage.StreamingStarted(attempt, atNanos, pipe));
  }

  @Override
  public void requestWritten() {
    environment.metrics().attemptWritten();
  }

  @Override
  public void connectionStale(OutboundAttempt attempt) {
    post(new CacheServerTask.ConnectionStale(attempt));
  }

  @Override
  public void malformedResponse() {
    post(new CacheServerTask.MalformedResponse());
  }

  @Override
  public void connectionClosed() {
    post(new CacheServerTask.ConnectionClosed());
  }

  private void post(CacheServerTask task) {
    environment.thread().post(server, task);
  }
}
