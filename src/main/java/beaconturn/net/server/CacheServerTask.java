package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.OutboundAttempt;
import java.net.InetSocketAddress;

/**
 * A message to the actor of one cache server. Posted by any thread; {@link #applyTo} runs on the
 * {@link CacheServerThread} alone.
 */
sealed interface CacheServerTask {
  /** Has the actor do what the message says. */
  void applyTo(CacheServer server);

  /** The actor joins its thread, which from then on looks after its idle connections. */
  record JoinThread() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      // Whoever sends a first message is known to the thread from then on.
    }
  }

  /** Write an attempt on a connection. */
  record SendAttempt(OutboundAttempt attempt) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onSend(attempt);
    }
  }

  /** An attempt was given up; its connection, if it had one, is closed already. */
  record AbortAttempt(OutboundAttempt attempt) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onAbort(attempt);
    }
  }

  /** An attempt has ended; its connection is the actor's again if it is {@code reusable}. */
  record AttemptEnded(
      CacheConnection connection, OutboundAttempt attempt, AttemptResult result, boolean reusable)
      implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onAttemptEnded(this);
    }
  }

  /** The idle connection chosen for an attempt was dead, is closed, and nothing was written. */
  record ConnectionStale(OutboundAttempt attempt) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onConnectionStale(attempt);
    }
  }

  /** The cache server has sent bytes that are no response, or came unasked. */
  record UnreadableResponse() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onUnreadableResponse();
    }
  }

  /** A connection has ended while a worker thread had it. */
  record ConnectionClosed() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onConnectionClosed();
    }
  }

  /** New connections go to this address. */
  record ChangeAddress(InetSocketAddress address) implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onAddress(address);
    }
  }

  /** Close all idle connections. */
  record CloseIdle() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onCloseIdle();
    }
  }

  /** End the actor once its last connection is closed. */
  record RetireServer() implements CacheServerTask {
    @Override
    public void applyTo(CacheServer server) {
      server.onRetire();
    }
  }
}
