package beaconturn.net.control;

import beaconturn.stats.Metric;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Logger;

/**
 * One connection to the admin address, which carries one command. Confined to the admin server's
 * thread.
 */
final class AdminConnection {
  private static final Logger LOG = Logger.getLogger(AdminConnection.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_CONNECTION_NANOS = 5_000 * NANOS_PER_MILLI;

  /**
   * Callers expect a response within a second. An override that the routing thread has not applied
   * by then is acknowledged, and is still applied later.
   */
  private static final long MAX_OVERRIDE_WAIT_NANOS = 700 * NANOS_PER_MILLI;

  private static final long NEVER = Long.MAX_VALUE;

  private final AdminServer server;
  private final SocketChannel channel;
  private final LineReader line = new LineReader();
  private final long openedAtNanos;

  /** The override that the routing thread has not applied yet, or null. */
  private ServerOverride pending;

  /** When the response is sent even if the override is still pending. */
  private long responseAtNanos = NEVER;

  /** Registers the channel, which must be non-blocking, with the server's selector. */
  AdminConnection(AdminServer server, SocketChannel channel) throws IOException {
    this.server = server;
    this.channel = channel;
    this.openedAtNanos = server.nowNanos();
    channel.register(server.selector(), SelectionKey.OP_READ, this);
  }

  /**
   * Sort key of connections to evict, lowest first; connections with a pending command are last.
   */
  long evictionOrder() {
    return responseAtNanos == NEVER ? openedAtNanos : NEVER;
  }

  /** Reads available bytes, and executes the command once its line is complete. */
  void read() {
    try {
      String text = line.read(channel);
      if (text != null) {
        // No further input is expected. End of input must not wake the selector repeatedly.
        channel.keyFor(server.selector()).interestOps(0);
        execute(AdminCommand.of(text));
      }
    } catch (InvalidAdminCommandException e) {
      respond("NAK " + e.getMessage());
    } catch (IOException e) {
      close();
    }
  }

  private void execute(AdminCommand command) {
    String text =
        switch (command.verb()) {
          case READY -> readinessText(server.operations().notReadyReason());
          case SHOW_METRICS -> MetricLines.of(server.counters().read());
          case SHOW_HEALTH -> healthText(server.operations().health());
          case DISABLE_SERVER -> override(command.serverId(), true);
          case ENABLE_SERVER -> override(command.serverId(), false);
        };
    if (text != null) {
      respond(text);
    }
  }

  private static String readinessText(String notReadyReason) {
    return notReadyReason == null ? "ACK" : "NAK " + notReadyReason;
  }

  private static String healthText(List<Metric> metrics) {
    return metrics == null ? "NAK no such call" : MetricLines.of(metrics);
  }

  /** Returns null, as the response is sent once the routing thread has applied the override. */
  private String override(String serverId, boolean excluded) {
    ServerOverride override = new ServerOverride(serverId, excluded, MonotonicMillis.millis());
    pending = override;
    responseAtNanos = server.nowNanos() + MAX_OVERRIDE_WAIT_NANOS;
    server
        .operations()
        .applyOverride(override, false, known -> server.post(() -> overrideApplied(known)));
    return null;
  }

  /** Handles the routing thread's acknowledgement, or the end of the wait for it. */
  private void overrideApplied(boolean known) {
    if (pending == null) {
      return;
    }
    ServerOverride override = pending;
    pending = null;
    if (!known) {
      respond("NAK no cache server has this id");
      return;
    }
    server.file().put(override);
    LOG.info(
        "cache server "
            + override.id()
            + (override.excluded() ? " excluded" : " included again")
            + " by operator override");
    respond("ACK");
  }

  /** Responds or closes the connection if its time limit has passed. */
  void check(long nowNanos) {
    if (nowNanos >= responseAtNanos) {
      overrideApplied(true);
    } else if (nowNanos - openedAtNanos > MAX_CONNECTION_NANOS) {
      close();
    }
  }

  /**
   * Sends the response with a single write: it fits into an empty send buffer, so a partial write
   * only affects a caller that does not read.
   */
  private void respond(String text) {
    try {
      channel.write(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.US_ASCII)));
      channel.shutdownOutput();
      line.drain(channel);
    } catch (IOException e) {
      LOG.finer("admin address: the caller closed its connection before the response");
    }
    close();
  }

  void close() {
    server.closed(this);
    AdminServer.closeQuietly(channel);
  }
}
