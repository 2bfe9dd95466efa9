import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Lists are pushed. A router is killed, and starts again with the list that it last had; meanwhile a
 * cache server has begun to drain, and discovery, which has many callers, answers after 0.9 s.
 * Checks what the draining cache server gets from the new process.
 */
final class PushStart {
  private static final int SERVERS = 8;
  private static final int RESTARTS = 5;
  private static final long TURN_MILLIS = 900;
  private static final long GRACE_MILLIS = 600 + 50;

  /** The draining cache servers, and since when the process that runs now counts as told. */
  private static final Map<String, Long> DRAINING = new ConcurrentHashMap<>();

  private static volatile long startedNanos;
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    Kit2.main(args[0], PushStart::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    List<Kit2.Host> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, PushStart::answer);
      Kit2.Host host =
          new Kit2.Host("c" + i, server.dial(), i % 2 == 0 ? "ridge-1" : "ridge-2", i / 3, "ready", 0);
      hosts.add(host);
      discovery.set(host);
    }
    int port = Kit2.freePort();
    String known = discovery.whole();
    Kit2.Router router = new Kit2.Router("n0", Settings2.passes(port, discovery, 1, known, 0), Map.of());
    router.awaitReady(30_000);
    Load load = new Load(port, 6, "snow-depth", 1000, 5);
    for (int i = 0; i < RESTARTS; i++) {
      Kit2.sleep(4000);
      router.signal("KILL");
      router.process.waitFor();
      Kit2.Host old = hosts.get(i);
      discovery.set(new Kit2.Host(old.host(), old.dial(), old.site(), old.block(), "draining", 0));
      Kit2.sleep(2500);
      DRAINING.put(old.host(), System.nanoTime());
      discovery.turnMillis = Kit2.trouble() ? TURN_MILLIS : 0;
      startedNanos = System.nanoTime();
      router = new Kit2.Router("n0", Settings2.passes(port, discovery, 1, known, 0), Map.of());
      router.awaitReady(30_000);
      Kit2.sleep(2000);
      discovery.turnMillis = 0;
      known = discovery.whole();
    }
    load.stop();
    Kit2.log("clients: " + load);
    router.logOutput();
    if (!router.process.isAlive() || load.served.get() < 1000) {
      throw new IOException("the router has ended, or too little was served: " + load);
    }
    return BROKEN;
  }

  /** A cache server that drains turns new requests away. */
  private static void answer(Kit2.Command command) throws Exception {
    if (DRAINING.containsKey(command.server.name)) {
      long afterMillis = (command.atNanos - startedNanos) / 1_000_000;
      Kit2.log(command.server.name + " drains and gets " + command.id + ", " + afterMillis
          + " ms after the start of the process");
      if (afterMillis > GRACE_MILLIS) {
        BROKEN.add("drain: " + command.server.name + " got " + command.id + " " + afterMillis
            + " ms after the start of a process that counts as told from its first moment");
      }
      command.write("-BUSY\r\n".getBytes());
      return;
    }
    Kit2.sleep(4);
    command.write(Kit2.answer(command.value(60), "hit"));
  }
}
