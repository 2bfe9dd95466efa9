import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A router starts while discovery has many callers and answers each call after some seconds, but
 * answers. A cache server begins to drain. Checks what it gets once that counts as told.
 */
final class SlowList {
  private static final int SERVERS = 8;
  private static final long TURN_MILLIS = 1_500;
  private static final long TOLD_MILLIS = 6_000;
  private static final long GRACE_MILLIS = 2_500 + 50;

  private static final Map<String, Long> CHANGED_NANOS = new ConcurrentHashMap<>();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    Kit2.main(args[0], SlowList::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    List<Kit2.Host> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, SlowList::answer);
      Kit2.Host host = new Kit2.Host("c" + i, server.dial(), "dc-main", i / 3, "ready", 0);
      hosts.add(host);
      discovery.set(host);
    }
    discovery.turnMillis = Kit2.trouble() ? TURN_MILLIS : 0;
    Kit2.Router router =
        new Kit2.Router(
            "n0", Settings2.balancing(Kit2.freePort(), discovery, 1, discovery.whole(), 0), Map.of());
    router.awaitReady(30_000);
    Load load = new Load(router.port, 6, "price-read", 900, 5);
    Kit2.sleep(5000);
    for (int i = 0; i < 2; i++) {
      Kit2.Host old = hosts.get(i);
      discovery.set(new Kit2.Host(old.host(), old.dial(), old.site(), old.block(), "draining", 0));
      CHANGED_NANOS.put(old.host(), System.nanoTime());
      Kit2.sleep(10_000);
    }
    Kit2.sleep(8_000);
    load.stop();
    Kit2.log("clients: " + load);
    router.logOutput();
    if (!router.process.isAlive() || load.served.get() < 1000) {
      throw new IOException("the router has ended, or too little was served: " + load);
    }
    return BROKEN;
  }

  private static void answer(Kit2.Command command) throws Exception {
    Long changed = CHANGED_NANOS.get(command.server.name);
    if (changed != null) {
      long afterMillis = (command.atNanos - changed) / 1_000_000;
      if (afterMillis > TOLD_MILLIS + GRACE_MILLIS) {
        BROKEN.add("drain: " + command.server.name + " got " + command.id + " " + afterMillis
            + " ms after discovery had its drain");
      }
      command.write("-BUSY\r\n".getBytes());
      return;
    }
    Kit2.sleep(4);
    command.write(Kit2.answer(command.value(60), "hit"));
  }
}
