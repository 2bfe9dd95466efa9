import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two releases one after another replace the cache servers, half of them each, in steps. All of them
 * are warm again when the routers are restarted as planned. Checks for how long a router rejects all
 * that it gets.
 */
final class ShutOut {
  private static final int SERVERS = 6;
  private static final int ROUTERS = 2;
  private static final long STEP_MILLIS = 2_000;
  private static final long WARM_MILLIS = 24_000;
  private static final long LIMIT_MILLIS = 4_000;
  private static final int LIMIT_REQUESTS = 15;

  private static final AtomicLong IDS = new AtomicLong(0x5007000);
  private static final Set<String> SENT = ConcurrentHashMap.newKeySet();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());
  private static volatile boolean stopped;
  private static volatile boolean watched;

  public static void main(String[] args) {
    Kit2.main(args[0], ShutOut::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    List<Kit2.Host> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      hosts.add(join(discovery, "c" + i, i, 0));
    }
    List<Kit2.Router> routers = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      Kit2.Router router =
          new Kit2.Router(
              "n" + i, Settings2.nivele(Kit2.freePort(), discovery, ROUTERS, discovery.whole(), i), Map.of());
      router.awaitReady(30_000);
      routers.add(router);
      for (int j = 0; j < 4; j++) {
        String name = router.name + "-" + j;
        clients.add(Kit2.start(name, () -> client(name, router.port)));
      }
    }
    Kit2.sleep(4000);
    for (int i = 0; i < SERVERS; i++) {
      Kit2.Host old = hosts.get(i);
      discovery.set(new Kit2.Host(old.host(), old.dial(), old.site(), old.block(), "draining", 0));
      join(discovery, "r" + i, i, System.currentTimeMillis());
      Kit2.sleep(STEP_MILLIS);
      discovery.set(new Kit2.Host(old.host(), old.dial(), old.site(), old.block(), "gone", 0));
    }
    Kit2.sleep(WARM_MILLIS);
    Kit2.log("all cache servers are warm");
    watched = true;
    for (int i = 0; Kit2.trouble() && i < ROUTERS; i++) {
      Kit2.Router old = routers.get(i);
      old.signal("TERM");
      old.process.waitFor();
      Kit2.Router next =
          new Kit2.Router(
              old.name, Settings2.nivele(old.port, discovery, ROUTERS, discovery.whole(), i), Map.of());
      next.awaitReady(30_000);
      routers.set(i, next);
    }
    Kit2.sleep(12_000);
    stopped = true;
    for (Thread client : clients) {
      client.join(5000);
    }
    for (Kit2.Router router : routers) {
      if (!router.process.isAlive()) {
        throw new IOException("a router has ended");
      }
      router.logOutput();
    }
    if (SENT.size() < 1000) {
      throw new IOException("too little was sent");
    }
    return BROKEN;
  }

  private static Kit2.Host join(Kit2.Discovery discovery, String name, int index, long bornMs) throws IOException {
    Kit2.CacheServer server =
        new Kit2.CacheServer(
            name,
            command -> {
              SENT.add(command.id);
              Kit2.sleep(4);
              command.write(Kit2.answer(command.value(60), "hit"));
            });
    Kit2.Host host =
        new Kit2.Host(name, server.dial(), index % 2 == 0 ? "buc-1" : "buc-2", index / 3, "ready", bornMs);
    discovery.set(host);
    return host;
  }

  /** A client whose requests all go to one router; counts rejections on end without an attempt. */
  private static void client(String name, int port) {
    Random random = new Random(port);
    Kit2.Client client = null;
    int rejected = 0;
    long sinceMs = 0;
    boolean told = false;
    while (!stopped) {
      String key = String.format("%016x", random.nextLong() & 0xffff_ffffL);
      String id = String.format("%016x", IDS.incrementAndGet());
      try {
        if (client == null) {
          client = new Kit2.Client(port);
        }
        long sentMs = Kit2.ms();
        client.send(Kit2.command("C.GET", key, id, "c=level-now,d=900"));
        String answer = Kit2.text(client.read(3000));
        boolean rejection = answer.startsWith("-BUSY") && !SENT.contains(id);
        sinceMs = rejection && rejected > 0 ? sinceMs : sentMs;
        rejected = rejection ? rejected + 1 : 0;
        long forMs = Kit2.ms() - sinceMs;
        if (watched && rejected >= LIMIT_REQUESTS && forMs > LIMIT_MILLIS && !told) {
          told = true;
          BROKEN.add("client " + name + ": its router rejected all of its " + rejected + " requests for " + forMs
              + " ms, with no attempt");
          Kit2.log(BROKEN.get(BROKEN.size() - 1));
        }
      } catch (IOException e) {
        rejected = 0;
        if (client != null) {
          client.close();
        }
        client = null;
      }
      Kit2.sleep(20);
    }
  }
}
