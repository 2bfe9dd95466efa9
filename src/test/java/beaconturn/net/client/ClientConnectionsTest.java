package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.ClientRequest;
import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.net.TestPeer;
import beaconturn.net.io.BoundedPipe;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Closing and draining of client connections, with a clock controlled by the test. */
@Timeout(60)
class ClientConnectionsTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final String GET =
      "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$2\r\nid\r\n$13\r\nc=read,d=1500\r\n";
  private final AtomicLong nowNanos = new AtomicLong(SECOND_NANOS);
  private Clock clock = nowNanos::get;
  private final BlockingQueue<RoutingMessage> routingQueue = new LinkedBlockingQueue<>();
  private Consumer<RoutingMessage> routing = routingQueue::add;
  private final PendingRequestIds ids = new PendingRequestIds();
  private final RejectionCounter metrics = new RejectionCounter();
  private final ClientConnections connections = new ClientConnections(1, 1);
  private LoopbackListener server;
  private ClientPoller poller;
  private TestPeer.Connection client;
  private ClientConnection connection;

  @BeforeEach
  void connect() throws IOException {
    server = new LoopbackListener();
    poller = new ClientPoller(nowNanos::get, 0);
    poller.start();
    connect(poller);
  }

  private void connect(ClientPoller connectionPoller) throws IOException {
    client = server.connect(accepted -> serve(accepted, connectionPoller));
  }

  private void serve(SocketChannel accepted, ClientPoller connectionPoller) {
    connection =
        new ClientConnection(
            accepted,
            new ConnectionContext(
                () -> new RequestParser(Samples.read(), metrics),
                () -> clock.now(),
                new Lifecycle(),
                message -> routing.accept(message),
                connectionPoller,
                ids,
                new LargeRequestMemory(9 << 16),
                new ResponseMemory(1 << 24),
                new PipelineLimit(1000),
                new ClientEventLog(),
                connections::remove));
    connections.add(connection);
    connection.start();
  }

  @AfterEach
  void end() throws IOException {
    client.close();
    server.close();
  }

  private ClientRequest nextRequest() throws InterruptedException {
    return ((RoutingMessage.RequestReceived) routingQueue.poll(20, TimeUnit.SECONDS)).request();
  }

  private void awaitPartialCommand() throws Exception {
    TestPeer.until(() -> connection.partialCommandSinceNanos() < Long.MAX_VALUE);
  }

  /**
   * Guards against connections held open without any input, or by a command that trickles in byte
   * by byte.
   */
  @Test
  void closesClientWithoutCompleteCommandAfterCommandTimeout() throws Exception {
    client.write("*4\r\n$5\r\n");
    awaitPartialCommand();
    nowNanos.addAndGet(SECOND_NANOS);
    connections.sweep(nowNanos.get());
    client.write("C.G");
    assertEquals(1, connections.count());
    nowNanos.addAndGet(SECOND_NANOS * 3 / 2 + 1);
    sweepUntilAllClosed();
    assertEquals("end", client.readResponse());
  }

  /**
   * Sweeps until no connection is open; a sweep may skip a connection that the poller is reading.
   */
  private void sweepUntilAllClosed() throws Exception {
    TestPeer.until(
        () -> {
          connections.sweep(nowNanos.get());
          return connections.count() == 0;
        });
  }

  /** A busy poller may not have read a request that arrived long ago. */
  @Test
  void readsFromSocketBeforeClosingSilentConnection() throws Exception {
    ClientPoller latePoller = new ClientPoller(nowNanos::get, 0);
    connect(latePoller);
    client.write(GET);
    nowNanos.addAndGet(3 * SECOND_NANOS);
    connections.sweep(nowNanos.get());
    latePoller.start();
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
  }

  /**
   * During an upgrade each process keeps half of the connections; new clients must still be
   * accepted.
   */
  @Test
  void evictsOneConnectionPerNewOneAboveLoweredLimit() throws Exception {
    client.write(GET);
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    awaitIdle();
    TestPeer.Connection first = client;
    connect(poller);
    connect(poller);
    assertEquals(3, connections.count());
    nowNanos.addAndGet(SECOND_NANOS / 2);
    assertTrue(connections.makeRoom(nowNanos.get()));
    assertTrue(connections.makeRoom(nowNanos.get()));
    // A connection that the poller has not processed yet may be proposed for closing twice.
    TestPeer.until(() -> connections.makeRoom(nowNanos.get()) && first.isClosedByPeer());
  }

  /**
   * Guards against running out of descriptors: a closed channel's descriptor is free only after the
   * next selection.
   */
  @Test
  void countsClosedConnectionUntilDescriptorIsFree() throws Exception {
    ClientPoller latePoller = new ClientPoller(nowNanos::get, 0);
    connect(latePoller);
    connection.close(CloseReason.CLIENT_DISCONNECTED);
    assertEquals(2, connections.count());
    latePoller.start();
    TestPeer.until(() -> connections.count() == 1);
  }

  @Test
  void closesOnPartialCommandAfterCompleteOneWithinSameTimeout() throws Exception {
    client.write(GET);
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    awaitIdle();
    nowNanos.addAndGet(SECOND_NANOS);
    client.write("*4\r\n$5\r\n");
    awaitPartialCommand();
    nowNanos.addAndGet(SECOND_NANOS * 5 / 2 + 1);
    sweepUntilAllClosed();
    assertEquals("end", client.readResponse());
  }

  /** A partial command must not cost the client the response to an earlier request. */
  @Test
  void keepsConnectionOpenWhileRequestIsInFlight() throws Exception {
    client.write(GET + "*4\r\n$5\r\n");
    ClientRequest request = nextRequest();
    awaitPartialCommand();
    nowNanos.addAndGet(3 * SECOND_NANOS);
    connections.sweep(nowNanos.get());
    request.respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
  }

  /**
   * The client may receive its response before the poller has recorded that no partial command is
   * left.
   */
  private void awaitIdle() throws Exception {
    TestPeer.until(() -> connection.idleSinceNanos() < Long.MAX_VALUE);
  }

  /** Idle clients that keep their connections use descriptors and memory. */
  @Test
  void closesIdleConnectionAfterIdleTimeout() throws Exception {
    client.write(GET);
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    awaitIdle();
    connections.sweep(nowNanos.get() + 2 * SECOND_NANOS);
    assertEquals(1, connections.count());
    nowNanos.addAndGet(3 * SECOND_NANOS);
    connections.sweep(nowNanos.get());
    assertEquals("end", client.readResponse());
  }

  /**
   * Above the soft limit idle connections are closed sooner, before clients reach their own limits
   * on open connections.
   */
  @Test
  void closesIdleConnectionSoonerAboveSoftLimit() throws Exception {
    ClientConnections crowdedConnections = new ClientConnections(9, 0);
    crowdedConnections.add(connection);
    client.write(GET);
    ClientRequest request = nextRequest();
    nowNanos.addAndGet(SECOND_NANOS / 2);
    crowdedConnections.sweep(nowNanos.get());
    request.respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    crowdedConnections.sweep(nowNanos.get());
    client.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", client.readResponse());
    awaitIdle();
    nowNanos.addAndGet(SECOND_NANOS / 2);
    crowdedConnections.sweep(nowNanos.get());
    assertEquals("end", client.readResponse());
  }

  private static String get(String id) {
    return "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$13\r\nc=read,d=1500\r\n";
  }

  /** A request whose client has disconnected must not be forwarded. */
  @Test
  void dropsRequestOfDisconnectedClient() throws Exception {
    ClientPoller latePoller = new ClientPoller(nowNanos::get, 0);
    connect(latePoller);
    client.write(GET);
    client.disconnect();
    latePoller.start();
    TestPeer.until(() -> connections.count() == 1);
    assertEquals(0, routingQueue.size());
  }

  /**
   * Throttled commands must neither hide the disconnect of their client nor be forwarded
   * afterwards.
   */
  @Test
  void detectsDisconnectBehindThrottledCommands() throws Exception {
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < 60; i++) {
      commands.append(get("id" + i));
    }
    client.write(commands.toString());
    int pending = 0;
    while (pending < 33) {
      nextRequest();
      pending++;
    }
    client.disconnect();
    for (int i = 0; i < pending; i++) {
      assertTrue(
          routingQueue.poll(20, TimeUnit.SECONDS) instanceof RoutingMessage.ClientDisconnected,
          "number " + i);
    }
    TestPeer.until(() -> connections.count() == 0);
    assertEquals(0, routingQueue.size());
    assertEquals(0, ids.count());
  }

  /** Keeps the poller busy with another connection until the latch is released. */
  private void blockPoller(CountDownLatch busy, CountDownLatch release) throws Exception {
    routing =
        message -> {
          busy.countDown();
          TestPeer.await(release);
        };
    connect(poller);
    client.write(get("other"));
    busy.await();
    routing = routingQueue::add;
  }

  /** The deadline counts from arrival, even while the poller is busy with other connections. */
  @Test
  void countsDeadlineWhilePollerIsBusy() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    TestPeer.Connection waitingClient = client;
    awaitRegistered();
    blockPoller(new CountDownLatch(1), release);
    long sentAtNanos = nowNanos.get();
    waitingClient.write(GET);
    nowNanos.addAndGet(SECOND_NANOS);
    release.countDown();
    assertEquals(sentAtNanos + SECOND_NANOS * 3 / 2, nextRequest().deadlineNanos());
  }

  /**
   * After the process was stopped during a wait, the deadline counts from the start of that wait.
   */
  @Test
  void countsDeadlineWhileProcessIsStopped() throws Exception {
    AtomicLong arrivedAtNanos = new AtomicLong();
    routing =
        message -> {
          arrivedAtNanos.set(nowNanos.get());
          routingQueue.add(message);
        };
    // Each clock reading by the poller advances the time by a second, so that every wait seems too
    // long.
    clock =
        () ->
            Thread.currentThread().getName().equals("clients")
                ? nowNanos.addAndGet(SECOND_NANOS)
                : nowNanos.get();
    ClientPoller stoppedPoller = new ClientPoller(() -> clock.now());
    connect(stoppedPoller);
    stoppedPoller.start();
    awaitRegistered();
    client.write(GET);
    long deadlineNanos = nextRequest().deadlineNanos();
    // The request counts as arrived at the start of the wait: a second before its end, itself a
    // second ago.
    long latestDeadlineNanos = arrivedAtNanos.get() - 2 * SECOND_NANOS + SECOND_NANOS * 3 / 2;
    assertTrue(
        deadlineNanos <= latestDeadlineNanos, deadlineNanos + " is after " + latestDeadlineNanos);
  }

  /** The poller has registered the connection once it has responded on it. */
  private void awaitRegistered() throws Exception {
    client.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", client.readResponse());
    awaitIdle();
  }

  /** The deadline of a throttled command counts from its own last byte. */
  @Test
  void countsDeadlineWhileCommandIsThrottled() throws Exception {
    for (int i = 0; i < 33; i++) {
      client.write(get("id" + i));
    }
    ClientRequest first = nextRequest();
    for (int i = 1; i < 33; i++) {
      nextRequest();
    }
    long sentAtNanos = nowNanos.get();
    client.write(get("waits"));
    awaitPartialCommand();
    nowNanos.addAndGet(SECOND_NANOS);
    first.respond(Slice.of("+v\r\n"));
    assertEquals(sentAtNanos + SECOND_NANOS * 3 / 2, nextRequest().deadlineNanos());
  }

  /**
   * A request that arrives while its idle connection is being closed is either served or left
   * unread.
   */
  @Test
  void servesRequestThatArrivesBeforeIdleClose() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    TestPeer.Connection idleClient = client;
    awaitRegistered();
    blockPoller(new CountDownLatch(1), release);
    idleClient.write(GET);
    nowNanos.addAndGet(3 * SECOND_NANOS);
    connections.sweep(nowNanos.get());
    release.countDown();
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", idleClient.readResponse());
  }

  /**
   * A client that always has a request in flight must not keep its connection open during a
   * graceful shutdown.
   */
  @Test
  void rejectsLateRequestsAndClosesAfterLastResponseWhileDraining() throws Exception {
    TestPeer.Connection drainingClient = client;
    ClientConnection drainingConnection = connection;
    client.write(get("early"));
    ClientRequest early = nextRequest();
    connections.drain();
    nowNanos.addAndGet(SECOND_NANOS / 10);
    // Input read before the poller's next selection may have arrived before the shutdown and would
    // be served.
    awaitPollerRound();
    drainingClient.write(get("late"));
    TestPeer.until(
        () ->
            metrics.count() == 1
                && drainingConnection.partialCommandSinceNanos() == Long.MAX_VALUE);
    assertEquals(1, ids.count());
    early.respond(Slice.of("+v\r\n"));
    assertEquals("+v", drainingClient.readResponse());
    assertEquals("-BUSY 50", drainingClient.readResponse());
    TestPeer.until(
        () -> {
          connections.drain();
          return drainingClient.isClosedByPeer();
        });
    assertEquals(0, routingQueue.size());
  }

  /**
   * A request that arrives while the poller is busy and the shutdown starts may have arrived before
   * it, so it is served.
   */
  @Test
  void servesRequestThatMayHaveArrivedBeforeDraining() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    routing =
        message -> {
          routingQueue.add(message);
          busy.countDown();
          TestPeer.await(release);
        };
    client.write(get("early"));
    busy.await();
    connections.drain();
    nowNanos.addAndGet(SECOND_NANOS / 10);
    client.write(get("late"));
    routing = routingQueue::add;
    release.countDown();
    ClientRequest early = nextRequest();
    nextRequest().respond(Slice.of("+late\r\n"));
    early.respond(Slice.of("+early\r\n"));
    assertEquals("+early", client.readResponse());
    assertEquals("+late", client.readResponse());
    assertEquals("end", client.readResponse());
    assertEquals(0, metrics.count());
  }

  /**
   * Otherwise the client's next request would be rejected on a connection that is about to close.
   */
  @Test
  void closesAfterLastResponseWhileDraining() throws Exception {
    client.write(GET);
    ClientRequest request = nextRequest();
    connections.drain();
    request.respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    assertEquals("end", client.readResponse());
  }

  /**
   * A request that was read would need a response, which cannot be sent after the output is shut
   * down.
   */
  @Test
  void readsNothingAfterOutputShutdown() throws Exception {
    awaitRegistered();
    TestPeer.until(
        () -> {
          connections.drain();
          return connection.outputShutdownAtNanos() < Long.MAX_VALUE;
        });
    client.write(GET);
    nowNanos.addAndGet(SECOND_NANOS);
    sweepUntilAllClosed();
    assertEquals(0, routingQueue.size());
    assertEquals(0, ids.count());
    assertThrows(IOException.class, () -> client.write("x"), "expected a reset over unread bytes");
  }

  /** While a response is streamed no command is read, but the end of the stream is detected. */
  @Test
  void detectsDisconnectWhileResponseIsStreamed() throws Exception {
    client.write(GET);
    BoundedPipe pipe = new BoundedPipe(70_000);
    nextRequest().startStreaming(pipe);
    pipe.put(Slice.of("$69990\r\n"));
    assertEquals("$69990", client.readBytes(6));
    client.disconnect();
    assertTrue(
        routingQueue.poll(20, TimeUnit.SECONDS) instanceof RoutingMessage.ClientDisconnected);
    TestPeer.until(() -> connections.count() == 0);
    assertThrows(IOException.class, () -> pipe.put(Slice.of("rest")));
  }

  /** A response that is held back for the commands behind it starts before its client gives up. */
  @Test
  void startsResponseThatIsHeldBackForTooLong() throws Exception {
    client.write(get("a1", "1500") + get("a2", "1500"));
    ClientRequest first = nextRequest();
    ClientRequest second = nextRequest();
    second.respond(Slice.of("+second\r\n"));
    BoundedPipe pipe = new BoundedPipe(12);
    first.startStreaming(pipe);
    pipe.put(Slice.of("$5\r\n"));
    connections.sweep(nowNanos.get());
    assertFalse(pipe.isStarted());
    nowNanos.addAndGet(SECOND_NANOS * 3 / 4);
    connections.sweep(nowNanos.get());
    assertEquals("$5\r\n", client.readBytes(4));
    pipe.put(Slice.of("value\r\n"));
    pipe.end();
    first.respond(null);
    assertEquals("value\r\n+second\r\n", client.readBytes(16));
  }

  /** Guards against cutting off a large response for a client that reads slowly but steadily. */
  @Test
  void writesToClientThatReadsSlowlyAsLongAsItReads() throws Exception {
    client.close();
    TestPeer.until(() -> connections.count() == 0);
    client = server.connectWithSmallReceiveBuffer(accepted -> serve(accepted, poller));
    client.write(GET);
    int bytes = 32 << 20;
    nextRequest().respond(new Slice(new byte[bytes], 0, bytes));
    for (int i = 0; i < 8; i++) {
      client.readBytes(128 * 1024);
      nowNanos.addAndGet(4 * SECOND_NANOS);
      connections.sweep(nowNanos.get());
      assertEquals(1, connections.count(), "number " + i);
    }
    nowNanos.addAndGet(11 * SECOND_NANOS);
    sweepUntilAllClosed();
  }

  @Test
  void releasesIdWithResponse() throws Exception {
    client.write(GET);
    ClientRequest request = nextRequest();
    assertEquals(1, ids.count());
    request.reject(0);
    assertEquals(0, ids.count());
    client.write(GET);
    nextRequest();
    client.disconnect();
    assertTrue(
        routingQueue.poll(20, TimeUnit.SECONDS) instanceof RoutingMessage.ClientDisconnected);
    TestPeer.until(() -> ids.count() == 0);
  }

  private static String get(String id, String wait) {
    String attributes = "c=read,d=" + wait;
    return "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$"
        + attributes.length()
        + "\r\n"
        + attributes
        + "\r\n";
  }

  /** An invalid argument of one command does not affect the framing of the others. */
  @Test
  void rejectedCommandDoesNotAffectOthers() throws Exception {
    client.write(
        get("first")
            + get("none-left", "0")
            + get("far", "999999")
            + get("no-class").replace("c=read", "c=none")
            + get("first")
            + "*1\r\n:5\r\n"
            + get("last"));
    ClientRequest first = nextRequest();
    nextRequest().respond(Slice.of("+last\r\n"));
    first.respond(Slice.of("+first\r\n"));
    assertEquals("+first", client.readResponse());
    for (int i = 0; i < 5; i++) {
      assertTrue(client.readResponse().startsWith("-ERR "), "command " + i);
    }
    assertEquals("+last", client.readResponse());
    client.write(get("another"));
    nextRequest().respond(Slice.of("+another\r\n"));
    assertEquals("+another", client.readResponse());
    assertEquals(0, ids.count());
  }

  /** A client that has started its first command is active and must not be evicted. */
  @Test
  void doesNotEvictClientWithPartialFirstCommand() throws Exception {
    awaitRegistered();
    connect(poller);
    client.write(GET.substring(0, 9));
    awaitPartialCommand();
    nowNanos.addAndGet(SECOND_NANOS / 10);
    TestPeer.Connection partialClient = client;
    connections.makeRoom(nowNanos.get());
    connections.makeRoom(nowNanos.get());
    partialClient.write(GET.substring(9));
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", partialClient.readResponse());
  }

  /**
   * Part of a command is read after the close was proposed and before the poller processes the
   * proposal.
   */
  @Test
  void dropsCloseProposalWhenCommandStarts() throws Exception {
    TestPeer.Connection idleClient = client;
    ClientConnection idleConnection = connection;
    awaitRegistered();
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch busyAgain = new CountDownLatch(1);
    CountDownLatch releaseAgain = new CountDownLatch(1);
    blockPoller(busy, release);
    routing =
        message -> {
          busyAgain.countDown();
          TestPeer.await(releaseAgain);
        };
    // One selection reports both connections in this order, and the poller blocks on the first.
    client.write(get("again"));
    idleClient.write(GET.substring(0, 9));
    release.countDown();
    busyAgain.await();
    routing = routingQueue::add;
    idleConnection.proposeClose(CloseReason.IDLE_TIMEOUT);
    releaseAgain.countDown();
    TestPeer.until(
        () ->
            idleConnection.partialCommandSinceNanos() < Long.MAX_VALUE
                || idleConnection.isCloseProposedOrClosed());
    awaitPollerRound();
    idleClient.write(GET.substring(9));
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", idleClient.readResponse());
  }

  /** Returns once the poller has processed everything scheduled before. */
  private void awaitPollerRound() throws Exception {
    connect(poller);
    client.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", client.readResponse());
  }

  private void assertNextRequestWaitsForNextWindow() throws Exception {
    connections.sweep(nowNanos.get());
    awaitPollerRound();
    assertEquals(0, routingQueue.size());
    nowNanos.addAndGet(SECOND_NANOS / 10);
    connections.sweep(nowNanos.get());
    nextRequest().respond(Slice.of("+v\r\n"));
  }

  /**
   * Guards against a client that sends invalid commands in a loop; it is throttled but not
   * disconnected.
   */
  @Test
  void throttlesRejectionsAndServesCommandsBehindThem() throws Exception {
    client.write("*1\r\n:5\r\n".repeat(20) + get("behind"));
    for (int i = 0; i < 16; i++) {
      assertTrue(client.readResponse().startsWith("-ERR "), "command " + i);
    }
    assertNextRequestWaitsForNextWindow();
  }

  /** Guards against clients that occupy the poller with commands that the router itself answers. */
  @ParameterizedTest
  @CsvSource({"PING, 128, -ERR starting", "HELLO, 16, -ERR unknown command"})
  void throttlesCommandsOfClientInLoop(String name, int limit, String response) throws Exception {
    String command = "*1\r\n$" + name.length() + "\r\n" + name + "\r\n";
    client.write(command.repeat(limit) + get("behind"));
    for (int i = 0; i < limit; i++) {
      assertEquals(response, client.readResponse(), "command " + i);
    }
    assertNextRequestWaitsForNextWindow();
  }

  /** An internal error must not leave a request without a response. */
  @Test
  void internalErrorFailsPendingRequestsThenClosesConnection() throws Exception {
    client.write(get("open"));
    nextRequest();
    routing =
        message -> {
          if (message instanceof RoutingMessage.RequestReceived) {
            throw new IllegalStateException("injected by the test");
          }
        };
    client.write(get("fails"));
    assertEquals("-ERR failed", client.readResponse());
    assertEquals("-ERR failed", client.readResponse());
    assertEquals("-ERR internal error", client.readResponse());
    assertEquals("end", client.readResponse());
    assertEquals(0, ids.count());
  }

  /**
   * Clients that stall within a command must not keep others out; slow but progressing clients stay
   * connected.
   */
  @Test
  void evictsStalledCommandLast() throws Exception {
    client.write(GET.substring(0, 9));
    awaitPartialCommand();
    nowNanos.addAndGet(SECOND_NANOS * 2 / 5);
    assertFalse(connections.makeRoom(nowNanos.get()));
    client.write(GET.substring(9, 12));
    TestPeer.until(() -> connection.stalledSinceNanos() == nowNanos.get());
    nowNanos.addAndGet(SECOND_NANOS * 2 / 5);
    assertFalse(connections.makeRoom(nowNanos.get()));
    nowNanos.addAndGet(SECOND_NANOS / 5);
    assertTrue(connections.makeRoom(nowNanos.get()));
    assertEquals("end", client.readResponse());
  }
}
