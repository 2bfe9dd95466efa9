package beaconturn.net.control;

import beaconturn.stats.Metric;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.logging.Logger;

/** One connection on the admin address, for one command; for the admin server's thread alone. */
final class AdminConnection {
  private static final Logger LOG = Logger.getLogger(AdminConnection.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long LONGEST_STAY_NANOS = 5_000 * NANOS_PER_MILLI;

  /**
   * An answer is due within a second; a command that the routing thread has not taken by then takes
   * force all the same.
   */
  private static final long LONGEST_WAIT_NANOS = 700 * NANOS_PER_MILLI;

  private static final long NEVER = Long.MAX_VALUE;

  private final AdminServer server;
  private final SocketChannel channel;
  private final LineReader line = new LineReader();
  private final long openedAtNanos;

  /** What the routing thread has been asked to do, null if nothing waits for it. */
  private ServerOverride pending;

  private long answerAtNanos = NEVER;

  /** Registers the channel, which is not blocking. */
  AdminConnection(AdminServer server, SocketChannel channel) throws IOException {
    this.server = server;
    this.channel = channel;
    this.openedAtNanos = server.nowNanos();
    channel.register(server.selector(), SelectionKey.OP_READ, this);
  }

  /** The least is closed first where there are too many; one with a command under way never is. */
  long closeOrder() {
    return answerAtNanos == NEVER ? openedAtNanos : NEVER;
  }

  /** Reads what has come, and carries out the command once its line is whole. */
  void read() {
    try {
      String text = line.read(channel);
      if (text != null) {
        // Nothing more is asked for: its end of sending must not wake the selector again and again.
        channel.keyFor(server.selector()).interestOps(0);
        execute(AdminCommand.of(text));
      }
    } catch (InvalidAdminCommandException e) {
      answer("NAK " + e.getMessage());
    } catch (IOException e) {
      close();
    }
  }

  private void execute(AdminCommand command) {
    String text =
        switch (command.verb()) {
          case READY -> readiness(server.operations().notReadyReason());
          case SHOW_METRICS -> MetricLines.of(server.counters().read());
          case SHOW_HEALTH -> health(server.operations().health());
          case DISABLE_SERVER -> override(command.serverId(), true);
          case ENABLE_SERVER -> override(command.serverId(), false);
        };
    if (text != null) {
      answer(text);
    }
  }

  private static String readiness(String whyNot) {
    return whyNot == null ? "ACK" : "NAK " + whyNot;
  }

  private static String health(List<Metric> metrics) {
    return metrics == null ? "NAK no such call" : MetricLines.of(metrics);
  }

  /** Null, as the answer comes once the routing thread has taken the override. */
  private String override(String serverId, boolean out) {
    ServerOverride override = new ServerOverride(serverId, out, MonotonicMillis.millis());
    pending = override;
    answerAtNanos = server.nowNanos() + LONGEST_WAIT_NANOS;
    server
        .operations()
        .applyOverride(override, false, known -> server.post(() -> overrideApplied(known)));
    return null;
  }

  /** The routing thread has taken the override, or it is time for the answer without it. */
  private void overrideApplied(boolean known) {
    if (pending == null) {
      return;
    }
    ServerOverride override = pending;
    pending = null;
    if (!known) {
      answer("NAK no cache server has this id");
      return;
    }
    server.file().put(override);
    LOG.info(
        "cache server " + override.id() + (override.excluded() ? " is out" : " is back") + " by hand");
    answer("ACK");
  }

  /** Answers or closes the connection if its time is over. */
  void check(long nowNanos) {
    if (nowNanos >= answerAtNanos) {
      overrideApplied(true);
    } else if (nowNanos - openedAtNanos > LONGEST_STAY_NANOS) {
      close();
    }
  }

  /**
   * Answers are small beside the kernel's buffer: one that does not fit is for nobody who reads.
   */
  private void answer(String text) {
    try {
      channel.write(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.US_ASCII)));
      channel.shutdownOutput();
      line.drain(channel);
    } catch (IOException e) {
      LOG.finer("second address: a caller left before its answer");
    }
    close();
  }

  void close() {
    server.closed(this);
    AdminServer.closeQuietly(channel);
  }
}
