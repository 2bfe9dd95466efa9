import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send a write and reads of long values on one connection, while the origin is slow. */
final class Pipelines {
  private static final int SERVERS = 6;
  private static final int CLIENTS = 48;

  /** Reads that follow the write on its connection, spread over the time below. */
  private static final int READS = 31;

  private static final int SPREAD_MILLIS = 750;
  private static final int PERIOD_MILLIS = 2_000;
  private static final int VALUE_BYTES = 64_000;

  /** 60% of the 1.5 s after which alert-ack and level-now are given up. */
  private static final int WAIT_MILLIS = 900;

  /** Half a second after its time a request only earns nothing; each time limit is 50 ms longer. */
  private static final int LATE_MILLIS = 550;

  private static final double RUN_SECONDS = 30;
  private static final int SLOW_FROM_MILLIS = 8_000;
  private static final int SLOW_FOR_MILLIS = 12_000;
  private static final double SLOWER = 7.9;

  private static volatile boolean originSlow;
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger OTHER = new AtomicInteger();
  private static final AtomicInteger LOST = new AtomicInteger();
  private static final AtomicInteger BEHIND = new AtomicInteger();

  private Pipelines() {}

  public static void main(String[] arguments) throws Exception {
    Kit.Record record = new Kit.Record(arguments[0]);
    Kit.main(record, () -> play(record));
  }

  private static final class Server extends Kit.CacheServer {
    Server(Kit.Record record, String host) throws IOException {
      super(record, host);
    }

    @Override
    long workMillis(Kit.Command command) {
      if (command.name().equals("C.GET")) {
        return ThreadLocalRandom.current().nextLong(30, 80);
      }
      long origin = ThreadLocalRandom.current().nextLong(130, 230);
      return originSlow ? (long) (origin * SLOWER) : origin;
    }

    @Override
    String answerOf(Kit.Command command) {
      String start = super.answerOf(command);
      return command.name().equals("C.GET") ? start + "v".repeat(VALUE_BYTES - start.length()) : start;
    }
  }

  private static int play(Kit.Record record) throws Exception {
    Kit.Discovery discovery = new Kit.Discovery(record, "discovery");
    Setup setup = new Setup(record, discovery, SERVERS, Server::new);
    Kit.Router router =
        setup.start((name, port) -> setup.config(name, port, discovery.port(), Setup.CLASSES));
    double end = Kit.seconds() + RUN_SECONDS;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(
          Kit.thread(
              "client" + i,
              () -> {
                while (Kit.seconds() < end) {
                  long into = (long) (Kit.seconds() * 1000) % PERIOD_MILLIS;
                  Kit.sleep(PERIOD_MILLIS - into + ThreadLocalRandom.current().nextLong(100));
                  wave(record, router.port);
                }
              }));
    }
    Kit.sleep(SLOW_FROM_MILLIS);
    originSlow = Kit.trouble();
    record.say("the origin is slow: " + originSlow);
    Kit.sleep(SLOW_FOR_MILLIS);
    originSlow = false;
    for (Thread thread : clients) {
      thread.join(60_000);
    }
    record.say(
        SERVED + " served, " + OTHER + " answered otherwise, " + LOST + " lost; " + BEHIND
            + " more had no answer yet behind these");
    setup.addLog();
    return LOST.get() > 0 ? Kit.BROKEN : SERVED.get() > 5000 ? Kit.HELD : Kit.NOT_RUN;
  }

  /** A request as its client sent it. */
  private record Sent(String what, double at) {}

  /** Sends a write, and reads behind it before it is answered; reads the answers in their order. */
  private static void wave(Kit.Record record, int port) {
    List<Sent> sent = new ArrayList<>();
    int answered = 0;
    double lastAnswerAt = 0;
    try (Kit.Client client = new Kit.Client(port)) {
      send(record, client, sent, true);
      Thread writer =
          Kit.thread(
              "reads",
              () -> {
                for (int i = 0; i < READS; i++) {
                  send(record, client, sent, false);
                  Kit.sleep(SPREAD_MILLIS / READS);
                }
              });
      for (; answered <= READS; answered++) {
        client.socket.setSoTimeout(50);
        Object answer = null;
        while (answer == null) {
          client.in.mark(1);
          try {
            if (client.in.read() >= 0) {
              client.in.reset();
            }
          } catch (SocketTimeoutException e) {
            Sent next = sentAt(sent, answered);
            // The time for which a request waits for those before it does not count.
            double due = next == null ? Double.MAX_VALUE : Math.max(next.at(), lastAnswerAt) + (WAIT_MILLIS + LATE_MILLIS) / 1e3;
            if (Kit.seconds() > due) {
              throw e;
            }
            continue;
          }
          client.socket.setSoTimeout(WAIT_MILLIS + LATE_MILLIS);
          answer = client.read();
        }
        lastAnswerAt = Kit.seconds();
        (answer instanceof byte[] ? SERVED : OTHER).incrementAndGet();
        Sent of = sentAt(sent, answered);
        record.line("client got for " + (of == null ? "?" : of.what()) + ": " + Kit.shown(answer));
      }
      writer.join();
    } catch (IOException | InterruptedException e) {
      Sent first = sentAt(sent, answered);
      if (first == null) {
        record.line("connection ended with nothing owed: " + e);
        return;
      }
      int behind;
      synchronized (sent) {
        behind = sent.size() - answered - 1;
      }
      LOST.incrementAndGet();
      BEHIND.addAndGet(behind);
      record.line(
          "LOST: " + first.what() + " has no answer " + Math.round((Kit.seconds() - first.at()) * 1000)
              + " ms after it was sent, its time was " + WAIT_MILLIS + " ms; " + behind
              + " requests behind it; " + e);
    }
  }

  private static Sent sentAt(List<Sent> sent, int index) {
    synchronized (sent) {
      return index < sent.size() ? sent.get(index) : null;
    }
  }

  private static void send(Kit.Record record, Kit.Client client, List<Sent> sent, boolean write)
      throws IOException {
    String id = id();
    byte[] command =
        write
            ? Kit.command("C.SET", key(), id, "c=alert-ack,d=" + WAIT_MILLIS, "acknowledged")
            : Kit.command("C.GET", key(), id, "c=level-now,d=" + WAIT_MILLIS);
    String what = (write ? "C.SET " : "C.GET ") + id;
    client.write(command);
    synchronized (sent) {
      sent.add(new Sent(what, Kit.seconds()));
    }
    record.line("client sent " + what);
  }

  private static String id() {
    return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
  }

  private static String key() {
    return HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong(1, 2000));
  }
}
