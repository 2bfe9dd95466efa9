import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Cache servers some of whose answers come twice, the second some milliseconds late. */
final class SecondAnswer {
  private static final int CLIENTS = 16;
  private static final double SHARE = 0.1;

  /** How late the second answer is sent: some milliseconds. */
  private static final long LATE_FROM_MICROS = 1_000;

  private static final long LATE_TO_MICROS = 8_000;

  /** The time between two data centres, one way: cross_ms of the site is 0.3 to 0.5 ms. */
  private static final long WAY_MICROS = 500;

  private static final int WAIT_MILLIS = 900;
  private static final double RUN_SECONDS = 50;

  private SecondAnswer() {}

  public static void main(String[] arguments) throws Exception {
    Kit.Record record = new Kit.Record(arguments[0]);
    Kit.main(record, () -> play(record));
  }

  /** A sound cache server, but for a second copy of an answer when nothing else waits on the connection. */
  private static final class Server extends Kit.CacheServer {
    Server(Kit.Record record, String host) throws IOException {
      super(record, host);
    }

    @Override
    long workMillis(Kit.Command command) {
      return ThreadLocalRandom.current().nextLong(20, 60);
    }

    @Override
    void handle(Kit.Command command, InputStream in, OutputStream out) throws IOException {
      record.line(host + " runs " + command.name() + " " + command.key() + " " + command.id());
      Kit.sleep(workMillis(command));
      // Like the next request and a second answer, the answer is on its way for the time between two data
      // centres; what the server does not know yet when it sends, it cannot heed.
      long answeredAt = System.nanoTime();
      while (System.nanoTime() < answeredAt + WAY_MICROS * 1000) {
        LockSupport.parkNanos(50_000);
      }
      out.write(served(answerOf(command)));
      out.flush();
      if (!Kit.trouble() || ThreadLocalRandom.current().nextDouble() >= SHARE) {
        return;
      }
      long lateMicros = ThreadLocalRandom.current().nextLong(LATE_FROM_MICROS, LATE_TO_MICROS);
      long sendAt = answeredAt + lateMicros * 1000;
      while (System.nanoTime() < sendAt - WAY_MICROS * 1000) {
        if (in.available() > 0) {
          return;
        }
        Thread.onSpinWait();
      }
      if (in.available() > 0) {
        return;
      }
      while (System.nanoTime() < sendAt + WAY_MICROS * 1000) {
        Thread.onSpinWait();
      }
      out.write(served(answerOf(command)));
      out.flush();
      record.line(host + " answers " + command.id() + " a second time, " + lateMicros + " us late");
    }
  }

  private static int play(Kit.Record record) throws Exception {
    Kit.Discovery discovery = new Kit.Discovery(record, "discovery");
    Setup setup = new Setup(record, discovery, 4, Server::new);
    Kit.Router router =
        setup.start((name, port) -> setup.config(name, port, discovery.port(), Setup.CLASSES));
    double end = Kit.seconds() + RUN_SECONDS;
    AtomicInteger own = new AtomicInteger();
    AtomicInteger foreign = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(
          Kit.thread(
              "client" + i,
              () -> {
                while (Kit.seconds() < end) {
                  requests(record, router.port, end, own, foreign);
                }
              }));
    }
    for (Thread thread : clients) {
      thread.join(90_000);
    }
    record.say(own + " requests served with their own value, " + foreign + " with another one's");
    setup.addLog();
    return foreign.get() > 0 ? Kit.BROKEN : own.get() > 1000 ? Kit.HELD : Kit.NOT_RUN;
  }

  private static void requests(
      Kit.Record record, int port, double end, AtomicInteger own, AtomicInteger foreign)
      throws IOException {
    try (Kit.Client client = new Kit.Client(port)) {
      client.socket.setSoTimeout(5000);
      while (Kit.seconds() < end) {
        String id = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        String key = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong(1, 2000));
        client.write(Kit.command("C.GET", key, id, "c=level-now,d=" + WAIT_MILLIS));
        Object answer = client.read();
        String text = Kit.text(answer instanceof List<?> items ? items.get(0) : answer);
        record.line("client got for C.GET " + key + " " + id + ": " + text);
        if (answer instanceof byte[]) {
          if (text.startsWith("value-of-" + key + "-for-")) {
            own.incrementAndGet();
          } else {
            foreign.incrementAndGet();
            record.line("FOREIGN: " + id + " asked for key " + key + " and was served " + text);
          }
        }
        Kit.sleep(ThreadLocalRandom.current().nextLong(5, 60));
      }
    }
  }
}
