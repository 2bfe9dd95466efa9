import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Lists are pushed. Discovery is down for some seconds, several times; a cache server begins to
 * drain meanwhile, which counts as told when discovery is back. Checks what that cache server gets.
 */
final class PushReturn {
  private static final int SERVERS = 12;
  private static final int ROUTERS = 3;
  private static final int OUTAGES = 8;
  private static final long DOWN_MILLIS = 7_000;
  private static final long GRACE_MILLIS = 600 + 50;

  private static final Map<String, Long> TOLD_NANOS = new ConcurrentHashMap<>();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    Kit2.main(args[0], PushReturn::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    List<Kit2.Host> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, PushReturn::answer);
      Kit2.Host host =
          new Kit2.Host("c" + i, server.dial(), i % 2 == 0 ? "ridge-1" : "ridge-2", i / 3, "ready", 0);
      hosts.add(host);
      discovery.set(host);
    }
    String known = Settings2.list(discovery.seq(), hosts);
    List<Kit2.Router> routers = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      routers.add(
          new Kit2.Router(
              "n" + i, Settings2.passes(Kit2.freePort(), discovery, ROUTERS, known, i), Map.of()));
    }
    List<Load> loads = new ArrayList<>();
    for (Kit2.Router router : routers) {
      router.awaitReady(30_000);
      loads.add(new Load(router.port, 4, "snow-depth", 1000, 15));
    }
    Kit2.sleep(3000);
    Random random = new Random();
    for (int i = 0; i < OUTAGES; i++) {
      Kit2.Host old = hosts.get(i);
      Kit2.Host draining = new Kit2.Host(old.host(), old.dial(), old.site(), old.block(), "draining", 0);
      if (Kit2.trouble()) {
        discovery.goDown();
        Kit2.sleep(DOWN_MILLIS - 500 + random.nextInt(1200));
        discovery.set(draining);
        Kit2.sleep(500);
        discovery.comeBack();
      } else {
        Kit2.sleep(DOWN_MILLIS);
        discovery.set(draining);
      }
      TOLD_NANOS.put(old.host(), System.nanoTime());
      Kit2.log(old.host() + " counts as told");
      Kit2.sleep(2000);
    }
    for (int i = 0; i < ROUTERS; i++) {
      loads.get(i).stop();
      if (!routers.get(i).process.isAlive()) {
        throw new IOException("a router has ended");
      }
      Kit2.log("clients of n" + i + ": " + loads.get(i));
      routers.get(i).logOutput();
      if (loads.get(i).served.get() < 1000) {
        throw new IOException("too little was served");
      }
    }
    return BROKEN;
  }

  /** A cache server that drains turns new requests away. */
  private static void answer(Kit2.Command command) throws Exception {
    Long told = TOLD_NANOS.get(command.server.name);
    if (told != null) {
      long afterMillis = (command.atNanos - told) / 1_000_000;
      Kit2.log(command.server.name + " drains and gets " + command.id + ", " + afterMillis + " ms after it was told");
      if (afterMillis > GRACE_MILLIS) {
        BROKEN.add("drain: " + command.server.name + " got " + command.id + " " + afterMillis
            + " ms after its drain was told");
      }
      command.write("-BUSY\r\n".getBytes());
      return;
    }
    Kit2.sleep(4);
    command.write(Kit2.answer(command.value(60), "hit"));
  }
}
