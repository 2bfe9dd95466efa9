import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of two zones is cut off for some seconds. Keyed writes whose first attempt a cache server has
 * run may be repeated only while their repeats are dropped: for 1.5 s from the first sending.
 */
final class LateRepeat {
  private static final int SERVERS = 8;
  private static final int CLIENTS = 48;
  private static final int CUTS = 13;
  private static final int WINDOW_MILLIS = 1500;
  private static final int SLACK_MILLIS = 50;
  private static final int WAIT_MILLIS = 2900;

  private static final AtomicLong IDS = new AtomicLong(0x1a7e0000);
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger OTHER = new AtomicInteger();
  private static final AtomicInteger REPEATS = new AtomicInteger();

  /** Where and when the first attempt of a keyed write came whole, by id. */
  private record First(String server, long atNanos) {}

  private static final Map<String, First> FIRSTS = new ConcurrentHashMap<>();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());
  private static volatile boolean stopped;

  public static void main(String[] args) {
    Kit2.main(args[0], LateRepeat::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    List<Cut> cuts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, LateRepeat::answer);
      Cut network = new Cut(server);
      boolean far = i >= 3;
      if (far) {
        cuts.add(network);
      }
      discovery.set(new Kit2.Host("c" + i, network.dial(), far ? "buc-2" : "buc-1", i / 3, "ready", 0));
    }
    String config =
        Settings2.nivele(Kit2.freePort(), discovery, 1, discovery.whole(), 0)
            .replace("\"window\":3000000000", "\"window\":" + WINDOW_MILLIS + "000000");
    Kit2.Router router = new Kit2.Router("n0", config, Map.of());
    router.awaitReady(30_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Kit2.start("client-" + i, () -> client(number, router.port)));
    }
    Kit2.sleep(4000);
    for (int i = 0; i < CUTS; i++) {
      Kit2.log("zone buc-2 is cut off");
      if (Kit2.trouble()) {
        cuts.forEach(Cut::begin);
      }
      Kit2.sleep(2300);
      cuts.forEach(Cut::end);
      Kit2.log("zone buc-2 is back");
      Kit2.sleep(4700);
    }
    stopped = true;
    for (Thread client : clients) {
      client.join(5000);
    }
    if (!router.process.isAlive()) {
      throw new IOException("the router has ended");
    }
    router.logOutput();
    Kit2.log("served " + SERVED + ", refused or failed " + OTHER + ", repeats " + REPEATS);
    if (SERVED.get() < 1000) {
      throw new IOException("too little was served: " + SERVED);
    }
    return BROKEN;
  }

  private static void answer(Kit2.Command command) throws Exception {
    if (command.words.get("c").equals("manual-reading")) {
      First first = FIRSTS.putIfAbsent(command.id, new First(command.server.name, command.atNanos));
      if (first != null) {
        REPEATS.incrementAndGet();
        long afterMillis = (command.atNanos - first.atNanos()) / 1_000_000;
        Kit2.log(command.server.name + " gets " + command.id + " again, " + afterMillis + " ms after "
            + first.server());
        if (afterMillis > WINDOW_MILLIS + SLACK_MILLIS) {
          BROKEN.add("duplicate: " + command.id + " has run at " + first.server() + " and runs again at "
              + command.server.name + ", " + afterMillis + " ms later: repeats are dropped for "
              + WINDOW_MILLIS + " ms");
        }
      }
    }
    Kit2.sleep(60 + Math.abs(command.id.hashCode() % 60));
    if (command.verb.equals("C.SET")) {
      String receipt = command.value(60);
      command.write(("*3\r\n$" + receipt.length() + "\r\n" + receipt + "\r\n$-1\r\n$-1\r\n").getBytes());
    } else {
      command.write(Kit2.answer(command.value(60), "hit"));
    }
  }

  private static void client(int number, int port) {
    Random random = new Random(number);
    Kit2.Client client = null;
    while (!stopped) {
      String key = String.format("%016x", random.nextLong() & 0xffff_ffffL);
      String id = String.format("%016x", IDS.incrementAndGet());
      boolean write = random.nextInt(2) == 0;
      try {
        if (client == null) {
          client = new Kit2.Client(port);
        }
        client.send(
            write
                ? Kit2.command("C.SET", key, id, "c=manual-reading,d=" + WAIT_MILLIS + ",k=" + id, "4.2 m")
                : Kit2.command("C.GET", key, id, "c=level-now,d=900"));
        boolean served = client.read(5000) instanceof byte[];
        (served ? SERVED : OTHER).incrementAndGet();
      } catch (IOException e) {
        if (client != null) {
          client.close();
        }
        client = null;
      }
      Kit2.sleep(20);
    }
  }
}
