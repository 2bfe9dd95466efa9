import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * A second copy of a large answer that comes some milliseconds after the first. Each client checks
 * that it is served with the value made for its own request.
 */
final class SecondLarge {
  private static final int LARGE_BYTES = 200_000;
  private static final int PIECES = 25;
  private static final int PIECE_PAUSE_MILLIS = 2;
  private static final int ONE_IN = 10;

  /** One way between data centres of the site. */
  private static final long WAY_NANOS = 500_000;

  private static final int CLIENTS = 16;
  private static final long LENGTH_MILLIS = 40_000;

  private static final AtomicLong IDS = new AtomicLong(0x5eed0000);
  private static final AtomicInteger LARGE_ANSWERS = new AtomicInteger();
  private static final AtomicInteger SECOND_COPIES = new AtomicInteger();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    Kit2.main(args[0], SecondLarge::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    List<Kit2.Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, SecondLarge::answer);
      Kit2.Host host = new Kit2.Host("c" + i, server.dial(), "buc-1", i, "ready", 0);
      hosts.add(host);
      discovery.set(host);
    }
    String known = Settings2.list(discovery.seq(), hosts);
    Kit2.Router router =
        new Kit2.Router("n0", Settings2.nivele(Kit2.freePort(), discovery, 1, known, 0), java.util.Map.of());
    router.awaitReady(30_000);
    AtomicInteger[] counts = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
    List<Thread> clients = new ArrayList<>();
    long until = Kit2.ms() + LENGTH_MILLIS;
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Kit2.start("client-" + i, () -> client(number, router.port, until, counts)));
    }
    for (Thread client : clients) {
      client.join();
    }
    if (!router.process.isAlive()) {
      throw new IOException("the router has ended");
    }
    router.logOutput();
    Kit2.log("served with its own value " + counts[0] + ", refused or failed " + counts[1] + ", no answer "
        + counts[2] + "; large answers " + LARGE_ANSWERS + ", second copies " + SECOND_COPIES);
    if (counts[0].get() < 500 || (Kit2.trouble() && SECOND_COPIES.get() < 5)) {
      throw new IOException("too little was served: " + counts[0] + ", second copies " + SECOND_COPIES);
    }
    return BROKEN;
  }

  /**
   * A large value goes out in pieces; of one in ten a second copy follows, 1 to 8 ms later, unless a
   * request has come on the connection by then.
   */
  private static void answer(Kit2.Command command) throws Exception {
    if (!command.key.startsWith("1a")) {
      Kit2.sleep(3);
      command.write(Kit2.answer(command.value(60), "hit"));
      return;
    }
    byte[] bytes = Kit2.answer(command.value(LARGE_BYTES), "hit");
    int piece = bytes.length / PIECES + 1;
    for (int from = 0; from < bytes.length; from += piece) {
      command.out.write(bytes, from, Math.min(piece, bytes.length - from));
      command.out.flush();
      Kit2.sleep(PIECE_PAUSE_MILLIS);
    }
    boolean second = LARGE_ANSWERS.incrementAndGet() % ONE_IN == 0;
    if (second && Kit2.trouble() && nothingComesWithin(command, 1 + (command.id.hashCode() & 7))) {
      // On its way from here on: what the router writes now meets it.
      LockSupport.parkNanos(WAY_NANOS);
      Kit2.log(command.server.name + " sends a second copy of the answer for " + command.id);
      SECOND_COPIES.incrementAndGet();
      command.write(bytes);
    }
  }

  /**
   * Waits for so long; whether nothing has come on the connection meanwhile. What was written less
   * than the time of one way before the end has not come yet.
   */
  private static boolean nothingComesWithin(Kit2.Command command, int millis) throws IOException {
    long until = System.nanoTime() + millis * 1_000_000L;
    while (System.nanoTime() < until - WAY_NANOS) {
      if (command.socket.getInputStream().available() > 0) {
        return false;
      }
      LockSupport.parkNanos(50_000);
    }
    LockSupport.parkNanos(Math.max(1, until - System.nanoTime()));
    return true;
  }

  private static void client(int number, int port, long until, AtomicInteger[] counts) {
    Random random = new Random(number);
    Kit2.Client client = null;
    while (Kit2.ms() < until) {
      boolean large = random.nextInt(4) == 0;
      String key = (large ? "1a" : "00") + String.format("%014x", random.nextInt(200));
      String id = String.format("%016x", IDS.incrementAndGet());
      int size = large ? LARGE_BYTES : 60;
      try {
        if (client == null) {
          client = new Kit2.Client(port);
        }
        client.send(Kit2.command("C.GET", key, id, "c=level-series,d=1500"));
        Object answer = client.read(4000);
        if (answer instanceof byte[] bytes) {
          check(key, id, size, Kit2.text(bytes), counts);
        } else if (answer instanceof List<?> items && items.get(0) instanceof byte[] bytes) {
          check(key, id, size, Kit2.text(bytes), counts);
        } else {
          counts[1].incrementAndGet();
          Kit2.sleep(5);
        }
      } catch (IOException e) {
        counts[2].incrementAndGet();
        Kit2.log("client " + number + " has no answer for " + id + ": " + e);
        if (client != null) {
          client.close();
        }
        client = null;
      }
    }
  }

  private static void check(String key, String id, int size, String value, AtomicInteger[] counts) {
    String wanted = "value of " + key + " for " + id + ";";
    boolean whole = value.startsWith(wanted) && value.length() == Math.max(size, wanted.length());
    if (whole) {
      counts[0].incrementAndGet();
      return;
    }
    BROKEN.add("lost: request " + id + " for key " + key + " was served with "
        + value.substring(0, Math.min(70, value.length())) + " (" + value.length() + " bytes)");
    Kit2.log(BROKEN.get(BROKEN.size() - 1));
  }
}
