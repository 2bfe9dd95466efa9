package beaconturn.standin.net;

import beaconturn.core.Clock;
import beaconturn.protocol.RespWriter;
import beaconturn.standin.CacheServerSpec;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.EventScheduler;
import beaconturn.standin.HistoryRecorder;
import beaconturn.standin.OriginModel;
import beaconturn.standin.RandomSources;
import beaconturn.standin.WorkCost;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency of the stand-ins without a router; not run by the tests. Each connection has
 * a blocking thread that sends at a fixed rate; latency is counted from the intended time.
 * Arguments: total requests per second, connections, seconds. docs/results.md quotes the run 20000
 * 200 20.
 */
final class StandInSpeed {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;

  /** Start of the run that is left out, while code is being compiled. */
  private static final long WARM_UP_NANOS = 5 * SECOND;

  private static final int SERVER_COUNT = 10;
  private static final int KEY_COUNT = 50;
  private final Histogram latency = new ConcurrentHistogram(60 * SECOND, 3);
  private final AtomicLong failedConnections = new AtomicLong();

  private StandInSpeed() {}

  public static void main(String[] args) throws IOException, InterruptedException {
    int rate = Integer.parseInt(args[0]);
    int connections = Integer.parseInt(args[1]);
    int seconds = Integer.parseInt(args[2]);
    CacheServerSpec spec =
        new CacheServerSpec(
            1,
            64,
            1000,
            64 << 20,
            600 * SECOND,
            1,
            0,
            4,
            SECOND,
            1000,
            0,
            8,
            true,
            true,
            List.of());
    List<EmulatedFleet.Member> members = new ArrayList<>();
    for (int i = 0; i < SERVER_COUNT; i++) {
      members.add(new EmulatedFleet.Member("c" + i, "east", "kind", 0, 1, spec));
    }
    Clock clock = Clock.system();
    EmulatedFleet fleet =
        new EmulatedFleet(
            new EventScheduler(clock.now()),
            new EmulatedFleet.Spec(
                members,
                new OriginModel.Spec(64, 10_000, MILLI, 100, SECOND, SECOND),
                List.of(new WorkCost("read", MILLI, 400, false, false, 0, "all")),
                0,
                0),
            new RandomSources(1),
            HistoryRecorder.NONE);
    try (EmulatedFleetServer fleetServer = new EmulatedFleetServer(fleet, clock::now, 1, 0)) {
      fleetServer.start();
      new StandInSpeed().run(fleetServer, rate, connections, seconds);
    }
  }

  private void run(EmulatedFleetServer fleetServer, int rate, int connections, int seconds)
      throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    long startNanos = System.nanoTime() + SECOND;
    long intervalNanos = SECOND * connections / rate;
    for (int i = 0; i < connections; i++) {
      int connection = i;
      Thread thread =
          new Thread(
              () ->
                  sendRequests(
                      fleetServer,
                      connection,
                      startNanos + intervalNanos * connection / connections,
                      intervalNanos,
                      startNanos + seconds * SECOND));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    System.out.println(
        String.format(
            Locale.ROOT,
            "%d requests over %d connections in %d s, %d broken; from the"
                + " intended time: p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, most %.2f ms;"
                + " work 0.5 to 1.5 ms",
            latency.getTotalCount(),
            connections,
            seconds,
            failedConnections.get(),
            latency.getValueAtPercentile(50) / 1e6,
            latency.getValueAtPercentile(99) / 1e6,
            latency.getValueAtPercentile(99.9) / 1e6,
            latency.getMaxValue() / 1e6));
  }

  private void sendRequests(
      EmulatedFleetServer fleetServer,
      int connection,
      long firstNanos,
      long intervalNanos,
      long endNanos) {
    byte[] response = new byte[4096];
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(fleetServer.serverAddress(0, connection % SERVER_COUNT));
      InputStream in = socket.getInputStream();
      int count = 0;
      for (long intendedNanos = firstNanos;
          intendedNanos < endNanos;
          intendedNanos += intervalNanos) {
        long waitNanos = intendedNanos - System.nanoTime();
        if (waitNanos > 0) {
          Thread.sleep(waitNanos / MILLI, (int) (waitNanos % MILLI));
        }
        socket.getOutputStream().write(command(connection, ++count));
        int received = 0;
        while (received < 5 || response[received - 5] != '$' || response[received - 4] != '-') {
          received += in.read(response, received, response.length - received);
        }
        if (intendedNanos >= firstNanos + WARM_UP_NANOS) {
          latency.recordValue(System.nanoTime() - intendedNanos);
        }
      }
    } catch (IOException | RuntimeException e) {
      failedConnections.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static byte[] command(int connection, int count) {
    String id = String.format("%08x%08x", connection, count);
    String text =
        RespWriter.arrayHeader(4).toString()
            + RespWriter.bulk("C.GET")
            + RespWriter.bulk("k" + count % KEY_COUNT)
            + RespWriter.bulk(id)
            + RespWriter.bulk("c=read,d=5000");
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
