package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.ClientRequest;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.net.TestPeer;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Input beyond the read-ahead of a connection, with a clock controlled by the test. */
@Timeout(60)
class InputBacklogTest {
  private static final long MILLI_NANOS = 1_000_000;

  /** The number of requests of one connection that may be in flight. */
  private static final int IN_FLIGHT = 33;

  private static final int COMMANDS = 1000;
  private static final long WAIT_NANOS = 1500 * MILLI_NANOS;
  private final AtomicLong nowNanos = new AtomicLong(1000 * MILLI_NANOS);
  private final BlockingQueue<RoutingMessage> routingQueue = new LinkedBlockingQueue<>();
  private final PendingRequestIds ids = new PendingRequestIds();
  private final RejectionCounter metrics = new RejectionCounter();
  private final ClientConnections connections = new ClientConnections(9, 9);
  private final AtomicInteger servedAtOnce = new AtomicInteger();
  private final AtomicLong latestDeadlineNanos = new AtomicLong();
  private volatile boolean respondsAtOnce;
  private LoopbackListener server;
  private TestPeer.Connection client;

  @BeforeEach
  void connect() throws IOException {
    server = new LoopbackListener();
    ClientPoller poller = new ClientPoller(nowNanos::get, 0);
    poller.start();
    ConnectionContext context =
        new ConnectionContext(
            () -> new RequestParser(Samples.read(), metrics),
            nowNanos::get,
            new Lifecycle(),
            this::route,
            poller,
            ids,
            new LargeRequestMemory(9 << 16),
            new ResponseMemory(1 << 24),
            new PipelineLimit(1000),
            new ClientEventLog(),
            connections::remove);
    client =
        server.connect(
            accepted -> {
              ClientConnection connection = new ClientConnection(accepted, context);
              connections.add(connection);
              connection.start();
            });
  }

  private void route(RoutingMessage message) {
    if (respondsAtOnce && message instanceof RoutingMessage.RequestReceived received) {
      servedAtOnce.incrementAndGet();
      latestDeadlineNanos.accumulateAndGet(received.request().deadlineNanos(), Math::max);
      received.request().respond(Slice.of("+w\r\n"));
    } else {
      routingQueue.add(message);
    }
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    server.close();
  }

  private static String gets(int count) {
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < count; i++) {
      String id = "id" + i;
      out.append("*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$" + id.length() + "\r\n" + id)
          .append("\r\n$13\r\nc=read,d=1500\r\n");
    }
    return out.toString();
  }

  private List<ClientRequest> requestsInFlight() throws InterruptedException {
    List<ClientRequest> requests = new ArrayList<>();
    while (requests.size() < IN_FLIGHT) {
      RoutingMessage message = routingQueue.poll(20, TimeUnit.SECONDS);
      requests.add(((RoutingMessage.RequestReceived) message).request());
    }
    return requests;
  }

  private void advanceUntil(Callable<Boolean> condition) throws Exception {
    TestPeer.until(
        () -> {
          nowNanos.addAndGet(MILLI_NANOS);
          Thread.onSpinWait();
          return condition.call();
        });
  }

  @Test
  void everyCommandBeyondTheReadAheadHasItsResponseInOrder() throws Exception {
    long sentAtNanos = nowNanos.get();
    client.write(gets(COMMANDS));
    List<ClientRequest> inFlight = requestsInFlight();
    advanceUntil(() -> metrics.count() > COMMANDS / 2);
    respondsAtOnce = true;
    inFlight.forEach(request -> request.respond(Slice.of("+v\r\n")));
    advanceUntil(
        () -> {
          connections.sweep(nowNanos.get());
          return metrics.count() + servedAtOnce.get() == COMMANDS - IN_FLIGHT;
        });
    for (int i = 0; i < IN_FLIGHT; i++) {
      assertEquals("+v", client.readResponse(), "number " + i);
    }
    int rejected = 0;
    int served = 0;
    while (rejected + served < COMMANDS - IN_FLIGHT) {
      String response = client.readResponse();
      rejected += response.equals("-BUSY 100") ? 1 : 0;
      served += response.equals("+w") ? 1 : 0;
    }
    assertEquals(metrics.count(), rejected);
    assertTrue(
        served == 0 || latestDeadlineNanos.get() <= sentAtNanos + WAIT_NANOS,
        "a deadline counts from when its command was read, not from when it can have arrived");
    assertTrue(rejected > COMMANDS / 2, rejected + " rejected");
  }

  @Test
  void disconnectBehindMuchInputCancelsRequests() throws Exception {
    client.write(gets(COMMANDS));
    requestsInFlight();
    client.disconnect();
    advanceUntil(() -> connections.count() == 0);
    for (int i = 0; i < IN_FLIGHT; i++) {
      assertTrue(routingQueue.take() instanceof RoutingMessage.ClientDisconnected, "number " + i);
    }
    assertEquals(0, routingQueue.size());
    assertEquals(0, ids.count());
  }

  @Test
  void waitingRequestsAreKeptForAShortTime() throws Exception {
    client.write(gets(COMMANDS));
    List<ClientRequest> inFlight = requestsInFlight();
    nowNanos.addAndGet(InputBacklog.MAX_WAIT_NANOS);
    inFlight.get(0).respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    assertTrue(routingQueue.take() instanceof RoutingMessage.RequestReceived);
    assertEquals(0, metrics.count());
  }

  /** The close of a client that writes without pause is not seen. */
  @Test
  void presenceIsUnknownWhileInputIsLeftUnread() {
    InputBacklog backlog = new InputBacklog();
    backlog.mayRemain(0);
    backlog.mayRemain(MILLI_NANOS);
    assertFalse(
        backlog.isOlderThan(
            InputBacklog.PRESENCE_TIMEOUT_NANOS, InputBacklog.PRESENCE_TIMEOUT_NANOS));
    assertTrue(
        backlog.isOlderThan(
            InputBacklog.PRESENCE_TIMEOUT_NANOS, InputBacklog.PRESENCE_TIMEOUT_NANOS + 1));
    backlog.cleared();
    assertFalse(backlog.isOlderThan(0, Long.MAX_VALUE));
  }
}
