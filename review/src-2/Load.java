import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of one router: each sends a read, awaits its answer, and rests for a moment. */
final class Load {
  private static final AtomicLong IDS = new AtomicLong(0x10ad0000);

  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();
  final AtomicInteger unanswered = new AtomicInteger();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  Load(int port, int clients, String clazz, int waitMillis, int restMillis) {
    for (int i = 0; i < clients; i++) {
      int number = i;
      threads.add(
          Kit2.start("client-" + port + "-" + i, () -> run(port, number, clazz, waitMillis, restMillis)));
    }
  }

  void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  @Override
  public String toString() {
    return "served " + served + ", refused " + refused + ", failed " + failed + ", no answer " + unanswered;
  }

  private void run(int port, int number, String clazz, int waitMillis, int restMillis) {
    Random random = new Random(port + number);
    Kit2.Client client = null;
    while (!stopped) {
      String key = String.format("%016x", random.nextLong() & 0xffff_ffffL);
      String id = String.format("%016x", IDS.incrementAndGet());
      try {
        if (client == null) {
          client = new Kit2.Client(port);
        }
        client.send(Kit2.command("C.GET", key, id, "c=" + clazz + ",d=" + waitMillis));
        count(Kit2.text(client.read(waitMillis + 1000)));
      } catch (IOException e) {
        unanswered.incrementAndGet();
        if (client != null) {
          client.close();
        }
        client = null;
      }
      Kit2.sleep(restMillis);
    }
    if (client != null) {
      client.close();
    }
  }

  private void count(String answer) {
    if (answer.startsWith("-BUSY")) {
      refused.incrementAndGet();
    } else if (answer.startsWith("-")) {
      failed.incrementAndGet();
    } else {
      served.incrementAndGet();
    }
  }
}
