import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of six cache servers hangs for 12 s in the middle of its work, and goes on. A large value that
 * it had begun to give, and goes on to give, has to reach its client whole.
 */
final class LargeHang {
  private static final int SERVERS = 6;
  private static final int CLIENTS = 12;
  private static final int LARGE_BYTES = 300_000;
  private static final int PIECES = 30;
  private static final int PIECE_PAUSE_MILLIS = 8;
  private static final long HANG_MILLIS = 12_000;
  private static final int HANGS = 3;

  private static final AtomicLong IDS = new AtomicLong(0x1a490000);
  private static final AtomicInteger WHOLE = new AtomicInteger();
  private static final AtomicInteger OTHER = new AtomicInteger();

  /** The cache server that hangs, and until when. */
  private static volatile String hung = "";
  private static volatile long hungUntilMs;

  /** Requests whose value was begun before a hang. */
  private static final Set<String> BEGUN = ConcurrentHashMap.newKeySet();
  private static final Set<String> BEGUN_EVER = ConcurrentHashMap.newKeySet();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());
  private static volatile boolean stopped;

  public static void main(String[] args) {
    Kit2.main(args[0], LargeHang::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    for (int i = 0; i < SERVERS; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, LargeHang::answer);
      discovery.set(new Kit2.Host("c" + i, server.dial(), i % 2 == 0 ? "buc-1" : "buc-2", i / 3, "ready", 0));
    }
    Kit2.Router router =
        new Kit2.Router(
            "n0", Settings2.nivele(Kit2.freePort(), discovery, 1, discovery.whole(), 0), Map.of());
    router.awaitReady(30_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Kit2.start("client-" + i, () -> client(number, router.port)));
    }
    for (int i = 0; i < HANGS; i++) {
      Kit2.sleep(4000);
      if (Kit2.trouble()) {
        hungUntilMs = Kit2.ms() + HANG_MILLIS;
        hung = "c" + i;
        Kit2.log(hung + " hangs in the middle of its work for " + HANG_MILLIS + " ms");
      }
      Kit2.sleep(HANG_MILLIS);
      hung = "";
      BEGUN.clear();
    }
    Kit2.sleep(3000);
    stopped = true;
    for (Thread client : clients) {
      client.join(5000);
    }
    if (!router.process.isAlive()) {
      throw new IOException("the router has ended");
    }
    router.logOutput();
    Kit2.log("whole " + WHOLE + ", refused or failed " + OTHER + "; begun before a hang: " + BEGUN_EVER.size());
    if (WHOLE.get() < 100 || (Kit2.trouble() && BEGUN_EVER.isEmpty())) {
      throw new IOException("too little was served, or no value was on its way: " + WHOLE);
    }
    return BROKEN;
  }

  private static void answer(Kit2.Command command) throws Exception {
    byte[] bytes = Kit2.answer(command.value(LARGE_BYTES), "hit");
    awaitEndOfHang(command, false);
    int piece = bytes.length / PIECES + 1;
    for (int from = 0; from < bytes.length; from += piece) {
      awaitEndOfHang(command, from > 0);
      command.out.write(bytes, from, Math.min(piece, bytes.length - from));
      command.out.flush();
      Kit2.sleep(PIECE_PAUSE_MILLIS);
    }
  }

  private static void awaitEndOfHang(Kit2.Command command, boolean begun) {
    if (!command.server.name.equals(hung)) {
      return;
    }
    if (begun) {
      BEGUN.add(command.id);
      BEGUN_EVER.add(command.id);
      Kit2.log(command.server.name + " hangs in the middle of the value for " + command.id);
    }
    long left = hungUntilMs - Kit2.ms();
    if (left > 0) {
      Kit2.sleep(left);
    }
    if (begun) {
      Kit2.log(command.server.name + " goes on with the value for " + command.id);
    }
  }

  private static void client(int number, int port) {
    Random random = new Random(number);
    Kit2.Client client = null;
    while (!stopped) {
      String key = String.format("%016x", random.nextLong() & 0xffff_ffffL);
      String id = String.format("%016x", IDS.incrementAndGet());
      try {
        if (client == null) {
          client = new Kit2.Client(port);
        }
        client.send(Kit2.command("C.GET", key, id, "c=level-series,d=2000"));
        Object answer = client.read(20_000);
        if (answer instanceof byte[] bytes && bytes.length == LARGE_BYTES) {
          WHOLE.incrementAndGet();
          if (BEGUN_EVER.contains(id)) {
            Kit2.log("client " + number + " has the whole value for " + id);
          }
        } else {
          OTHER.incrementAndGet();
        }
      } catch (IOException e) {
        boolean ofHang = BEGUN_EVER.contains(id);
        Kit2.log("client " + number + " has no whole answer for " + id + ": " + e);
        if (ofHang) {
          BROKEN.add("lost: the value for " + id + " was cut off, while its cache server still gives it: " + e);
        }
        if (client != null) {
          client.close();
        }
        client = null;
      }
      Kit2.sleep(20);
    }
  }
}
