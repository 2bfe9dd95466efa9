import java.io.ByteArrayOutputStream;
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
 * Clients send three commands at once: a read of a large value, a write that must never run twice,
 * and a small read. Some connections of cache servers are reset under the large answer. What has been
 * run for the two commands behind it has to be answered.
 */
final class Behind {
  private static final int SERVERS = 4;
  private static final int CLIENTS = 4;
  private static final int LARGE_BYTES = 200_000;
  private static final int PIECES = 20;
  private static final int ONE_IN = 20;
  private static final long LENGTH_MILLIS = 30_000;

  private static final AtomicLong IDS = new AtomicLong(0xbe41000);
  private static final AtomicInteger LARGE_ANSWERS = new AtomicInteger();
  private static final AtomicInteger RESETS = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger OTHER = new AtomicInteger();
  private static final Set<String> RUN = ConcurrentHashMap.newKeySet();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    Kit2.main(args[0], Behind::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    for (int i = 0; i < SERVERS; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, Behind::answer);
      discovery.set(new Kit2.Host("c" + i, server.dial(), i % 2 == 0 ? "buc-1" : "buc-2", i / 3, "ready", 0));
    }
    Kit2.Router router =
        new Kit2.Router(
            "n0", Settings2.nivele(Kit2.freePort(), discovery, 1, discovery.whole(), 0), Map.of());
    router.awaitReady(30_000);
    List<Thread> clients = new ArrayList<>();
    long until = Kit2.ms() + LENGTH_MILLIS;
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Kit2.start("client-" + i, () -> client(number, router.port, until)));
    }
    for (Thread client : clients) {
      client.join();
    }
    if (!router.process.isAlive()) {
      throw new IOException("the router has ended");
    }
    router.logOutput();
    Kit2.log("served " + SERVED + ", refused or failed " + OTHER + ", resets " + RESETS);
    if (SERVED.get() < 300 || (Kit2.trouble() && RESETS.get() < 3)) {
      throw new IOException("too little was served: " + SERVED + ", resets " + RESETS);
    }
    return BROKEN;
  }

  private static void answer(Kit2.Command command) throws Exception {
    RUN.add(command.id);
    if (!command.key.startsWith("1a")) {
      Kit2.sleep(5);
      command.write(Kit2.answer(command.value(60), "hit"));
      return;
    }
    boolean reset = LARGE_ANSWERS.incrementAndGet() % ONE_IN == 0 && Kit2.trouble();
    byte[] bytes = Kit2.answer(command.value(LARGE_BYTES), "hit");
    int piece = bytes.length / PIECES + 1;
    for (int from = 0; from < bytes.length; from += piece) {
      if (reset && from > bytes.length / 2) {
        RESETS.incrementAndGet();
        Kit2.log(command.server.name + ": the connection is reset under the answer for " + command.id);
        command.socket.setSoLinger(true, 0);
        command.socket.close();
        return;
      }
      command.out.write(bytes, from, Math.min(piece, bytes.length - from));
      command.out.flush();
      Kit2.sleep(3);
    }
  }

  private static void client(int number, int port, long until) {
    Random random = new Random(number);
    Kit2.Client client = null;
    while (Kit2.ms() < until) {
      String key = String.format("%014x", random.nextInt(500));
      String[] ids = new String[3];
      for (int i = 0; i < ids.length; i++) {
        ids[i] = String.format("%016x", IDS.incrementAndGet());
      }
      int answered = 0;
      try {
        if (client == null) {
          client = new Kit2.Client(port);
        }
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        batch.write(Kit2.command("C.GET", "1a" + key, ids[0], "c=level-series,d=2000"));
        batch.write(Kit2.command("C.SET", "00" + key, ids[1], "c=alert-ack,d=1400", "acknowledged"));
        batch.write(Kit2.command("C.GET", "00" + key, ids[2], "c=level-now,d=1400"));
        client.send(batch.toByteArray());
        for (; answered < ids.length; answered++) {
          boolean served = client.read(5000) instanceof byte[];
          (served ? SERVED : OTHER).incrementAndGet();
        }
      } catch (IOException e) {
        Kit2.log("client " + number + ": the connection ends with no whole answer for " + ids[answered] + ": " + e);
        // The first that is not whole may have failed with its cache server. What no cache server
        // has run may be unread, and is sent once more.
        for (int i = answered + 1; i < ids.length; i++) {
          if (RUN.contains(ids[i])) {
            BROKEN.add("lost: " + (i == 1 ? "alert-ack " : "level-now ") + ids[i]
                + " was run, and its connection was closed with no answer");
          }
        }
        if (client != null) {
          client.close();
        }
        client = null;
      }
      Kit2.sleep(10);
    }
  }
}
