import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients on slow lines read a value of 4,000,000 bytes steadily, without a pause. Each has to get it
 * whole: cache servers, router and clients are well, and the cache server still gives it.
 */
final class SlowReader {
  private static final int SERVERS = 3;
  private static final int CLIENTS = 6;
  private static final int LARGE_BYTES = 4_000_000;
  private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
  private static final int BYTES_PER_SECOND = 80_000;
  private static final int READS_PER_SECOND = 20;

  private static final AtomicLong IDS = new AtomicLong(0x510ead00);
  private static final AtomicInteger WHOLE = new AtomicInteger();
  private static final List<String> BROKEN = Collections.synchronizedList(new ArrayList<>());

  public static void main(String[] args) {
    Kit2.main(args[0], SlowReader::run);
  }

  private static List<String> run() throws Exception {
    Kit2.Discovery discovery = new Kit2.Discovery();
    for (int i = 0; i < SERVERS; i++) {
      Kit2.CacheServer server = new Kit2.CacheServer("c" + i, SlowReader::answer);
      discovery.set(new Kit2.Host("c" + i, server.dial(), i % 2 == 0 ? "buc-1" : "buc-2", i / 3, "ready", 0));
    }
    Kit2.Router router =
        new Kit2.Router(
            "n0", Settings2.nivele(Kit2.freePort(), discovery, 1, discovery.whole(), 0), Map.of());
    router.awaitReady(30_000);
    Load usual = new Load(router.port, 4, "level-now", 900, 20);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Kit2.start("slow-" + i, () -> client(number, router.port)));
      Kit2.sleep(200);
    }
    for (Thread client : clients) {
      client.join();
    }
    usual.stop();
    router.logOutput();
    Kit2.log("whole values " + WHOLE + " of " + CLIENTS + "; usual clients: " + usual);
    if (!router.process.isAlive() || usual.served.get() < 50) {
      throw new IOException("the router has ended, or too little was served: " + usual);
    }
    return BROKEN;
  }

  private static void answer(Kit2.Command command) throws Exception {
    boolean large = command.key.startsWith("1a");
    Kit2.sleep(5);
    command.write(Kit2.answer(command.value(large ? LARGE_BYTES : 60), "hit"));
    if (large) {
      Kit2.log(command.server.name + " has given the whole value for " + command.id);
    }
  }

  private static void client(int number, int port) {
    String id = String.format("%016x", IDS.incrementAndGet());
    String key = "1a" + String.format("%014x", number);
    long got = 0;
    long longestRestMs = 0;
    long firstMs = 0;
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
      socket.setSoTimeout(15_000);
      socket.getOutputStream().write(Kit2.command("C.GET", key, id, "c=level-series,d=2000"));
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[BYTES_PER_SECOND / READS_PER_SECOND];
      long total = ("$" + LARGE_BYTES + "\r\n").length() + LARGE_BYTES + 2;
      long lastMs = Kit2.ms();
      while (got < total) {
        int count = in.read(buffer);
        if (count < 0) {
          throw new IOException("the connection is closed");
        }
        if (got == 0) {
          firstMs = Kit2.ms();
          if (buffer[0] != '$') {
            throw new IOException("no value: " + new String(buffer, 0, Math.min(count, 30)));
          }
        } else {
          longestRestMs = Math.max(longestRestMs, Kit2.ms() - lastMs);
        }
        got += count;
        if (Kit2.trouble()) {
          // A steady pace from the first byte on, whatever the single reads bring.
          long dueMs = firstMs + got * 1000 / BYTES_PER_SECOND;
          Kit2.sleep(Math.max(1, Math.min(100, dueMs - Kit2.ms())));
        }
        lastMs = Kit2.ms();
      }
      WHOLE.incrementAndGet();
      Kit2.log("client " + number + " has its value whole after " + (Kit2.ms() - firstMs) + " ms");
    } catch (IOException e) {
      BROKEN.add("lost: client " + number + " reads " + BYTES_PER_SECOND + " bytes a second without a pause, and its value"
          + " was cut off after " + got + " of " + LARGE_BYTES + " bytes, " + (Kit2.ms() - firstMs)
          + " ms after the first: " + e.getMessage() + "; longest wait for bytes " + longestRestMs + " ms");
      Kit2.log(BROKEN.get(BROKEN.size() - 1));
    }
  }
}
