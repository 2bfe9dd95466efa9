package beaconturn.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.decision.EndpointListKind;
import beaconturn.net.TestPeer;
import beaconturn.net.io.Threads;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests watches of the endpoint list that fail or get no response. */
@Timeout(60)
class DiscoveryWatcherTest {
  /** After this time a router counts as notified of a change even if its watch is dead. */
  private static final int NOTIFICATION_LIMIT_MILLIS = 6_000;

  private final BlockingQueue<RoutingMessage> routingMessages = new LinkedBlockingQueue<>();
  private final CountDownLatch done = new CountDownLatch(1);

  private void startWatch(TestPeer discoveryPeer) {
    startWatch(discoveryPeer.address(), routingMessages::add);
  }

  private DiscoveryWatcher startWatch(
      InetSocketAddress discovery, Consumer<RoutingMessage> routingThread) {
    CallTiming timing = new CallTiming(new SplittableRandom(1), 40, 40);
    return startWatch(discovery, routingThread, timing);
  }

  private static DiscoveryWatcher startWatch(
      InetSocketAddress discovery, Consumer<RoutingMessage> routingThread, CallTiming timing) {
    DiscoveryWatcher watcher =
        new DiscoveryWatcher(
            discovery, new EndpointListParser(Samples.read()), 4, routingThread, () -> 0, timing);
    watcher.start();
    watcher.watch(true);
    return watcher;
  }

  private EndpointUpdate nextUpdate() throws InterruptedException {
    return ((RoutingMessage.EndpointUpdateReceived) routingMessages.poll(20, TimeUnit.SECONDS))
        .update();
  }

  /** With a backoff, the next watch would start after the router counts as notified of a change. */
  @Test
  void retriesWatchWithoutResponseImmediately() throws Exception {
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              line.note(line.readHttpHead().split(" ")[1]);
              if (line.isFirst()) {
                done.await();
              }
              line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              done.await();
            })) {
      startWatch(discoveryPeer);
      assertTrue(discoveryPeer.note().startsWith("/registry/instances?after=4&wait_ms="));
      assertTrue(discoveryPeer.note().startsWith("/registry/instances?after=4&wait_ms="));
      EndpointUpdate first = nextUpdate();
      assertEquals(EndpointListKind.DELTA, first.kind());
      assertEquals(5, first.version());
    } finally {
      done.countDown();
    }
  }

  /** The router must get the changes since its initial list without waiting for another one. */
  @Test
  void firstWatchDoesNotWaitForChange() throws Exception {
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              while (true) {
                String path = line.readHttpHead().split(" ")[1];
                line.note(path);
                line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
              }
            })) {
      startWatch(discoveryPeer);
      assertEquals("/registry/instances?after=4&wait_ms=1", discoveryPeer.note());
      String next = discoveryPeer.note();
      assertTrue(next.matches("/registry/instances\\?after=5&wait_ms=[34][0-9]"), next);
    }
  }

  /** The routing policy decides on the backoff while discovery is unreachable. */
  @Test
  void reportsRefusedConnectionAsFailure() throws Exception {
    TestPeer discoveryPeer = new TestPeer(line -> {});
    discoveryPeer.close();
    startWatch(discoveryPeer);
    assertEquals(EndpointListKind.FAILED, nextUpdate().kind());
  }

  /**
   * Routers that start together must not call at the same time, nor later than they count as
   * notified of a change.
   */
  @Test
  void waitsAreRandomAndLeaveTimeForAnotherWatch() {
    List<List<Integer>> waits =
        IntStream.range(0, 50)
            .mapToObj(
                seed -> {
                  CallTiming timing = CallTiming.of(seed);
                  return List.of(
                      timing.nextWaitMillis(),
                      timing.nextWaitMillis(),
                      timing.overdueMarginMillis());
                })
            .toList();
    assertTrue(waits.stream().map(w -> w.get(0)).distinct().count() > 45, waits::toString);
    waits.forEach(
        w -> {
          assertNotEquals(w.get(0), w.get(1));
          assertTrue(w.get(0) >= 1_500 && w.get(0) <= 2_000, w::toString);
          assertTrue(w.get(0) + w.get(2) <= NOTIFICATION_LIMIT_MILLIS / 2 + 100, w::toString);
        });
  }

  /** An error while an update is delivered must not stop the watch. */
  @Test
  void watchContinuesAfterConsumerFails() throws Exception {
    AtomicBoolean failedOnce = new AtomicBoolean();
    try (TestPeer discoveryPeer = new TestPeer(DiscoveryWatcherTest::answerCalls)) {
      startWatch(
          discoveryPeer.address(),
          message -> {
            if (failedOnce.compareAndSet(false, true)) {
              throw new OutOfMemoryError("thrown by the test");
            }
            routingMessages.add(message);
          });
      assertEquals(5, nextUpdate().version());
    }
  }

  /** A response that the parser rejects must be reported, so that the policy requests it again. */
  @Test
  void reportsDeeplyNestedResponseAsFailure() throws Exception {
    String deep = "[".repeat(200_000);
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              line.readHttpHead();
              line.writeHttpResponse(200, "{\"hosts\":" + deep);
            })) {
      startWatch(discoveryPeer);
      assertEquals(EndpointListKind.FAILED, nextUpdate().kind());
    }
  }

  /**
   * Answers the first call once the next has come, as a queue does that is longer than a margin.
   */
  private TestPeer slowPeer(String firstBody, String nextBody) {
    CountDownLatch nextStarted = new CountDownLatch(1);
    return new TestPeer(
        line -> {
          line.note(line.readHttpHead().split(" ")[1]);
          if (line.isFirst()) {
            nextStarted.await();
            line.writeHttpResponse(200, firstBody);
          } else {
            nextStarted.countDown();
            line.writeHttpResponse(200, nextBody);
          }
          done.await();
        });
  }

  /**
   * A router that drops calls before their turn has no list while discovery is slow (review/10).
   */
  @Test
  void overdueWatchIsAnswered() throws Exception {
    String unchanged = "{\"seq\":4,\"whole\":false,\"hosts\":[]}";
    try (TestPeer slow = slowPeer("{\"seq\":5,\"whole\":false,\"hosts\":[]}", unchanged)) {
      startWatch(slow);
      EndpointUpdate first = nextUpdate();
      EndpointUpdate newest = first.version() == 4 ? nextUpdate() : first;
      assertEquals(5, newest.version());
    } finally {
      done.countDown();
    }
  }

  /** After SIGHUP, calls for the complete list wait in the queue of the new discovery as well. */
  @Test
  void overdueCompleteListIsAnsweredAfterMove() throws Exception {
    String list = "{\"seq\":2,\"whole\":true,\"hosts\":[]}";
    try (TestPeer former = new TestPeer(line -> done.await());
        TestPeer slow = slowPeer(list, "nothing that can be read")) {
      DiscoveryWatcher watcher = startWatch(former.address(), routingMessages::add);
      watcher.move(slow.address());
      assertEquals("/registry/instances", slow.note());
      EndpointUpdate update = nextUpdate();
      while (update.kind() == EndpointListKind.FAILED) {
        update = nextUpdate();
      }
      assertEquals(EndpointListKind.FULL, update.kind());
      assertEquals(2, update.version());
    } finally {
      done.countDown();
    }
  }

  /**
   * A response that another call has overtaken must not bring back the former state of a server.
   */
  @Test
  void overtakenResponseIsDropped() throws Exception {
    CountDownLatch overtaken = new CountDownLatch(1);
    try (TestPeer discoveryPeer =
        new TestPeer(
            line -> {
              boolean first = line.isFirst();
              for (int version = 6; !line.readHttpHead().isEmpty(); version++) {
                if (first) {
                  overtaken.await();
                }
                line.writeHttpResponse(
                    200, "{\"seq\":" + (first ? 5 : version) + ",\"whole\":false,\"hosts\":[]}");
                if (version == 7) {
                  overtaken.countDown();
                }
              }
            })) {
      startWatch(discoveryPeer);
      for (int version = 6; version < 20; version++) {
        assertEquals(version, nextUpdate().version());
      }
    }
  }

  /** Calls that are answered in time must share one connection, as discovery has many routers. */
  @Test
  void watchesShareConnection() throws Exception {
    try (TestPeer discoveryPeer = new TestPeer(DiscoveryWatcherTest::answerCalls)) {
      startWatch(discoveryPeer.address(), routingMessages::add, CallTiming.of(1));
      for (int i = 0; i < 20; i++) {
        assertEquals(5, nextUpdate().version());
      }
      assertEquals(1, discoveryPeer.connections());
    }
  }

  /** Connections wait as well where discovery has many callers: its backlog is full at first. */
  @Test
  void callWaitsForSlowConnection() throws Exception {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket discovery = new ServerSocket(0, 1, loopback);
        Socket first = new Socket(loopback, discovery.getLocalPort());
        Socket second = new Socket(loopback, discovery.getLocalPort())) {
      assertTrue(first.isConnected() && second.isConnected());
      startWatch(new InetSocketAddress(loopback, discovery.getLocalPort()), routingMessages::add);
      assertNull(routingMessages.poll(1_500, TimeUnit.MILLISECONDS));
      Threads.start("discovery", () -> answerAll(discovery));
      assertEquals(5, nextUpdate().version());
    }
  }

  private static void answerAll(ServerSocket discovery) {
    try {
      while (true) {
        TestPeer.Connection line =
            new TestPeer.Connection(discovery.accept(), new LinkedBlockingQueue<>());
        Threads.start("line", () -> answer(line));
      }
    } catch (IOException e) {
      return;
    }
  }

  private static void answer(TestPeer.Connection line) {
    try {
      answerCalls(line);
    } catch (IOException e) {
      return;
    }
  }

  private static void answerCalls(TestPeer.Connection line) throws IOException {
    while (!line.readHttpHead().isEmpty()) {
      line.writeHttpResponse(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
    }
  }
}
