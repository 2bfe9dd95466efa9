import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that stop in the middle of a long request and stay, beside usual clients with long requests. */
final class BadClients {
  private static final int USUAL_CLIENTS = 8;
  private static final int BAD_CLIENTS = 100;
  private static final int LONG_VALUE_BYTES = 40_000;
  private static final int WAIT_MILLIS = 900;

  /** Half a second after its time a request only earns nothing; each time limit is 50 ms longer. */
  private static final int LATE_MILLIS = 550;

  private static final double RUN_SECONDS = 30;

  private BadClients() {}

  public static void main(String[] arguments) throws Exception {
    Kit.Record record = new Kit.Record(arguments[0]);
    Kit.main(record, () -> play(record));
  }

  private static int play(Kit.Record record) throws Exception {
    Kit.Discovery discovery = new Kit.Discovery(record, "discovery");
    Setup setup = new Setup(record, discovery, 4, Kit.CacheServer::new);
    Kit.Router router =
        setup.start((name, port) -> setup.config(name, port, discovery.port(), Setup.CLASSES));
    double end = Kit.seconds() + RUN_SECONDS;
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    List<Thread> usual = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      boolean writes = i % 2 == 0;
      usual.add(
          Kit.thread(
              "usual" + i,
              () -> {
                while (Kit.seconds() < end) {
                  request(record, router.port, writes, answered, lost);
                  Kit.sleep(40);
                }
              }));
    }
    Kit.sleep(5000);
    for (int wave = 0; wave < 3 && Kit.trouble(); wave++) {
      stopInTheMiddle(record, router.port);
      Kit.sleep(7000);
    }
    for (Thread thread : usual) {
      thread.join(40_000);
    }
    record.say(answered + " requests of usual clients answered in time, " + lost + " lost");
    setup.addLog();
    return lost.get() > 0 ? Kit.BROKEN : answered.get() > 300 ? Kit.HELD : Kit.NOT_RUN;
  }

  /** One request of a usual client on a connection of its own; waits for half a second beyond its time. */
  private static void request(
      Kit.Record record, int port, boolean write, AtomicInteger answered, AtomicInteger lost) {
    String id = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    String key = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong(1, 200));
    byte[] command =
        write
            ? Kit.command(
                "C.SET", key, id, "c=alert-ack,d=" + WAIT_MILLIS, "v".repeat(LONG_VALUE_BYTES))
            : Kit.command("C.GET", key, id, "c=level-now,d=" + WAIT_MILLIS);
    String what = (write ? "C.SET " : "C.GET ") + id;
    double sent = 0;
    try (Kit.Client client = new Kit.Client(port)) {
      client.write(command);
      sent = Kit.seconds();
      record.line("client sent " + what + ", last byte written");
      client.socket.setSoTimeout(WAIT_MILLIS + LATE_MILLIS);
      Object answer = client.read();
      record.line(
          "client got for " + what + " after " + Math.round((Kit.seconds() - sent) * 1000) + " ms: "
              + Kit.shown(answer instanceof List<?> items ? items.get(0) : answer));
      answered.incrementAndGet();
    } catch (SocketTimeoutException e) {
      lost.incrementAndGet();
      record.line(
          "LOST: " + what + " has no answer " + Math.round((Kit.seconds() - sent) * 1000)
              + " ms after its last byte; its time was " + WAIT_MILLIS + " ms");
    } catch (IOException e) {
      // New connections may be refused or shut; one that has been read may not.
      record.line("connection of " + what + " ended: " + e);
    }
  }

  /** Clients that begin a request with a long value, stop, and stay until they are closed. */
  private static void stopInTheMiddle(Kit.Record record, int port) {
    Map<Integer, Long> owed = new ConcurrentHashMap<>();
    for (int i = 0; i < BAD_CLIENTS; i++) {
      int number = i;
      Kit.thread(
          "bad" + i,
          () -> {
            try (Kit.Client client = new Kit.Client(port)) {
              long from = System.nanoTime();
              client.write(
                  ("*5\r\n$5\r\nC.SET\r\n$16\r\n00000000000000b1\r\n$16\r\n"
                          + HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong())
                          + "\r\n$20\r\nc=alert-ack,d=000900\r\n$" + LONG_VALUE_BYTES + "\r\n"
                          + "v".repeat(200))
                      .getBytes());
              client.socket.setSoTimeout(6000);
              try {
                while (client.in.read() >= 0) {
                  // What it is sent is read until it is closed.
                }
              } catch (IOException e) {
                // Closed.
              }
              owed.put(number, (System.nanoTime() - from) / 1_000_000);
            }
          });
    }
    record.say(BAD_CLIENTS + " clients have begun a request and stay");
    Kit.thread(
        "after",
        () -> {
          Kit.sleep(6500);
          record.line(
              "of these " + owed.size() + " were closed or answered, after "
                  + owed.values().stream().mapToLong(Long::longValue).min().orElse(0) + " to "
                  + owed.values().stream().mapToLong(Long::longValue).max().orElse(0) + " ms");
        });
  }
}
