package beaconturn.net.client;

/**
 * Why a client connection closes.
 *
 * <p>Except for {@link #CLIENT_DISCONNECTED}, {@link #WRITE_TIMEOUT}, {@link #RESPONSE_TRUNCATED}
 * and {@link #INTERNAL_ERROR}, a connection closes only after all outstanding responses are
 * written. The sweeper closes the connection itself on {@link #WRITE_TIMEOUT} and {@link
 * #LINGER_TIMEOUT}. All other closes run on the poller thread; those that the sweeper or the
 * listener proposes are dropped if a command has arrived meanwhile.
 */
public enum CloseReason {
  /** The client closed or reset the connection; its outstanding requests are cancelled. */
  CLIENT_DISCONNECTED("client disconnected"),
  /** The sweeper saw no byte within the first-byte timeout of a new connection. */
  FIRST_BYTE_TIMEOUT("no data received on a new connection"),
  /** The sweeper saw no request within the idle timeout. */
  IDLE_TIMEOUT("idle timeout"),
  /** The listener or the sweeper closes an idle connection to stay within the connection limits. */
  EVICTED("evicted to make room for other connections"),
  /** The sweeper saw a command that did not arrive completely within the command timeout. */
  COMMAND_TIMEOUT("command still incomplete at its timeout"),
  /**
   * The listener closes a connection whose partial command makes no progress, to stay within the
   * connection limit.
   */
  STALLED_COMMAND("evicted while its partial command made no progress"),
  /**
   * The sweeper saw no byte of a response accepted within the write timeout; the response and those
   * behind it are dropped.
   */
  WRITE_TIMEOUT("client did not read a response in time"),
  /**
   * The router had shut down its output, and the client did not close its side within the linger
   * time. No response is outstanding.
   */
  LINGER_TIMEOUT("client did not close its side after the output was shut down"),
  /** The output was shut down at a graceful shutdown of the router; no response is outstanding. */
  GRACEFUL_SHUTDOWN("graceful shutdown"),
  /**
   * The input cannot be split into commands; earlier commands are answered, followed by one error.
   */
  PROTOCOL_ERROR("protocol error"),
  /**
   * A partially written response cannot be completed, as its cache server failed; outstanding
   * requests are cancelled.
   */
  RESPONSE_TRUNCATED("response truncated by a cache server failure"),
  /** An error inside the router; requests that are still outstanding are cancelled. */
  INTERNAL_ERROR("internal error");

  private final String description;

  CloseReason(String description) {
    this.description = description;
  }

  /** Whether the client itself has given up its outstanding responses. */
  boolean isClientInitiated() {
    return this == CLIENT_DISCONNECTED || this == WRITE_TIMEOUT;
  }

  /**
   * Whether the close is logged even if no response is outstanding; normal disconnects and idle
   * timeouts are not.
   */
  boolean isLogged() {
    return this == EVICTED
        || this == COMMAND_TIMEOUT
        || this == STALLED_COMMAND
        || this == WRITE_TIMEOUT;
  }

  @Override
  public String toString() {
    return description;
  }
}
