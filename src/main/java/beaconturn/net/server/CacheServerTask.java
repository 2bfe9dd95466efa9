package beaconturn.net.server;

import beaconturn.core.OutboundAttempt;
import beaconturn.decision.AttemptOutcome;
import java.net.InetSocketAddress;

/**
 * A task for the actor of one cache server. Posted by any thread; {@link #applyTo} runs on the
 * {@link CacheServerThread} only.
 */
sealed interface CacheServerTask {
  /** Runs the task on the actor. */
  void applyTo(CacheServer server);

  /** Registers the actor with its thread, which then maintains its idle connections. */
  record RegisterActor() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      // The thread registers the actor of any task that it handles.
    }
  }

  /** Writes an attempt to a connection. */
  record SendAttempt(OutboundAttempt attempt) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onSend(attempt);
    }
  }

  /** An attempt was aborted; its connection, if any, is already closed. */
  record AbortAttempt(OutboundAttempt attempt) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onAbort(attempt);
    }
  }

  /**
   * An attempt ended; a {@code reusable} connection is returned to the actor. Holds no response, as
   * the actor may run long after the routing thread has handled it.
   *
   * @param releasedAtNanos when the connection had no response outstanding any more; later than the
   *     end time in the result of a streamed response, which is that of its first bytes
   */
  record AttemptEnded(
      CacheConnection connection,
      OutboundAttempt attempt,
      AttemptOutcome outcome,
      long releasedAtNanos,
      boolean reusable)
      implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onAttemptEnded(this);
    }
  }

  /** The idle connection selected for an attempt was dead; it is closed and nothing was written. */
  record ConnectionStale(OutboundAttempt attempt) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onConnectionStale(attempt);
    }
  }

  /** The cache server sent a malformed response, or bytes without a request. */
  record MalformedResponse() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onMalformedResponse();
    }
  }

  /** A connection was closed while a worker thread owned it. */
  record ConnectionClosed() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onConnectionClosed();
    }
  }

  /** Changes the address of new connections. */
  record ChangeAddress(InetSocketAddress address) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onAddressChanged(address);
    }
  }

  /** Closes all idle connections, and those in use once their attempts have ended. */
  record CloseIdle() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onCloseIdle();
    }
  }

  /** Stops the actor once its last connection is closed. */
  record RetireServer() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onRetire();
    }
  }
}
