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
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestEnd;
import beaconturn.stats.RequestMetrics;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Which connections of clients are closed when; the clock is the test's. */
@Timeout(60)
class ClientConnectionsTest {
  private static final long SECOND = 1_000_000_000;
  private static final String GET =
      "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$2\r\nid\r\n$13\r\nc=read,d=1500\r\n";
  private final AtomicLong now = new AtomicLong(SECOND);
  private Clock clock = now::get;
  private final BlockingQueue<RoutingMessage> module = new LinkedBlockingQueue<>();
  private Consumer<RoutingMessage> toModule = module::add;
  private final PendingRequestIds ids = new PendingRequestIds();
  private final AtomicInteger rejected = new AtomicInteger();
  private final RequestMetrics metrics =
      new RequestMetrics() {
        @Override
        public void requestEnded(String requestClass, RequestEnd end) {
          if (end == RequestEnd.REJECTED) {
            rejected.incrementAndGet();
          }
        }
      };
  private final ClientConnections connections = new ClientConnections(1, 1);
  private ServerSocketChannel server;
  private ClientPoller poller;
  private TestPeer.Line client;
  private ClientConnection connection;

  @BeforeEach
  void connect() throws IOException {
    server =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    poller = new ClientPoller(now::get, 0);
    poller.start();
    connect(poller);
  }

  private void connect(ClientPoller reads) throws IOException {
    Socket from = new Socket(InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
    from.setSoTimeout(20_000);
    client = new TestPeer.Line(from, new LinkedBlockingQueue<>());
    SocketChannel accepted = server.accept();
    accepted.configureBlocking(false);
    connection =
        new ClientConnection(
            accepted,
            new ConnectionContext(
                () -> new RequestParser(Samples.read(), metrics),
                () -> clock.now(),
                new Lifecycle(),
                message -> toModule.accept(message),
                reads,
                ids,
                new Semaphore(9),
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

  private ClientRequest arrived() throws InterruptedException {
    return ((RoutingMessage.RequestReceived) module.poll(20, TimeUnit.SECONDS)).request();
  }

  private void awaitHalfRead() throws Exception {
    TestPeer.until(() -> connection.partialCommandSinceNanos() < Long.MAX_VALUE);
  }

  /** Silence for ever, and half a command renewed byte by byte, would hold a place for ever. */
  @Test
  void aClientWithoutOneWholeCommandIsClosedHoweverItGoesOn() throws Exception {
    client.write("*4\r\n$5\r\n");
    awaitHalfRead();
    now.addAndGet(SECOND);
    connections.sweep(now.get());
    client.write("C.G");
    assertEquals(1, connections.count());
    now.addAndGet(SECOND * 3 / 2 + 1);
    awaitSwept();
    assertEquals("end", client.answer());
  }

  /** A sweep while the poller reads passes the connection by; the next one does not. */
  private void awaitSwept() throws Exception {
    TestPeer.until(
        () -> {
          connections.sweep(now.get());
          return connections.count() == 0;
        });
  }

  /** A poller that has too much to do has not read what its client wrote long ago. */
  @Test
  void whatTheKernelHoldsIsLookedAtBeforeASilentConnectionIsClosed() throws Exception {
    ClientPoller late = new ClientPoller(now::get, 0);
    connect(late);
    client.write(GET);
    now.addAndGet(3 * SECOND);
    connections.sweep(now.get());
    late.start();
    arrived().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.answer());
  }

  /**
   * In an upgrade each process keeps to half; a client that comes then must not meet a close for
   * it.
   */
  @Test
  void overALoweredMostOneGoesForOneThatComes() throws Exception {
    client.write(GET);
    arrived().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.answer());
    awaitQuiet();
    TestPeer.Line first = client;
    connect(poller);
    connect(poller);
    assertEquals(3, connections.count());
    now.addAndGet(SECOND / 2);
    assertTrue(connections.makeRoom(now.get()));
    assertTrue(connections.makeRoom(now.get()));
    // One at which the poller has not looked yet may have been chosen twice.
    TestPeer.until(() -> connections.makeRoom(now.get()) && first.ended());
  }

  /**
   * A descriptor is free when the selector has gone round; counted as free before, they run out.
   */
  @Test
  void aClosedConnectionCountsUntilItsDescriptorIsFree() throws Exception {
    ClientPoller late = new ClientPoller(now::get, 0);
    connect(late);
    connection.close(EndReason.CLIENT_LEFT);
    assertEquals(2, connections.count());
    late.start();
    TestPeer.until(() -> connections.count() == 1);
  }

  /** The same for half a command on a connection that has been of use before. */
  @Test
  void halfACommandBehindAWholeOneIsClosedInTheSameTime() throws Exception {
    client.write(GET);
    arrived().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.answer());
    awaitQuiet();
    now.addAndGet(SECOND);
    client.write("*4\r\n$5\r\n");
    awaitHalfRead();
    now.addAndGet(SECOND * 5 / 2 + 1);
    awaitSwept();
    assertEquals("end", client.answer());
  }

  /** An answer that is owed is not lost for the half command behind its request. */
  @Test
  void aRequestThatIsOutKeepsItsConnectionOpen() throws Exception {
    client.write(GET + "*4\r\n$5\r\n");
    ClientRequest call = arrived();
    awaitHalfRead();
    now.addAndGet(3 * SECOND);
    connections.sweep(now.get());
    call.respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.answer());
  }

  /**
   * The client has its answer a little before the poller has noted that nothing of a command is
   * left.
   */
  private void awaitQuiet() throws Exception {
    TestPeer.until(() -> connection.idleSinceNanos() < Long.MAX_VALUE);
  }

  /**
   * Clients that ask once and stay cost descriptors and memory; they are let go where places are
   * short.
   */
  @Test
  void aQuietConnectionIsEndedBetweenRequestsAfterSomeSeconds() throws Exception {
    client.write(GET);
    arrived().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.answer());
    awaitQuiet();
    connections.sweep(now.get() + 2 * SECOND);
    assertEquals(1, connections.count());
    now.addAndGet(3 * SECOND);
    connections.sweep(now.get());
    assertEquals("end", client.answer());
  }

  /**
   * Clients that ask once and stay fill the third of the descriptors that they may hold, and ask no
   * more; so quiet connections go long before the most is reached.
   */
  @Test
  void overAnEasyNumberQuietConnectionsAreLetGoSooner() throws Exception {
    ClientConnections crowded = new ClientConnections(9, 0);
    crowded.add(connection);
    client.write(GET);
    ClientRequest call = arrived();
    now.addAndGet(SECOND / 2);
    crowded.sweep(now.get());
    call.respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.answer());
    crowded.sweep(now.get());
    client.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", client.answer());
    awaitQuiet();
    now.addAndGet(SECOND / 2);
    crowded.sweep(now.get());
    assertEquals("end", client.answer());
  }

  private static String get(String id) {
    return "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$13\r\nc=read,d=1500\r\n";
  }

  /** A client that has gone waits for nothing: what it wrote just before is not sent on. */
  @Test
  void aRequestWhoseClientHasClosedBehindItIsNotHandled() throws Exception {
    ClientPoller late = new ClientPoller(now::get, 0);
    connect(late);
    client.write(GET);
    client.hangUp();
    late.start();
    TestPeer.until(() -> connections.count() == 1);
    assertEquals(0, module.size());
  }

  /**
   * Commands that wait for room must not hide that their client has gone, nor be sent on
   * afterwards.
   */
  @Test
  void aCloseIsSeenBehindCommandsThatWaitForRoom() throws Exception {
    StringBuilder many = new StringBuilder();
    for (int i = 0; i < 60; i++) {
      many.append(get("id" + i));
    }
    client.write(many.toString());
    int open = 0;
    while (open < 33) {
      arrived();
      open++;
    }
    client.hangUp();
    for (int i = 0; i < open; i++) {
      assertTrue(
          module.poll(20, TimeUnit.SECONDS) instanceof RoutingMessage.ClientDisconnected,
          "number " + i);
    }
    TestPeer.until(() -> connections.count() == 0);
    assertEquals(0, module.size());
    assertEquals(0, ids.count());
  }

  /** The clients' poller is kept busy with another connection until the latch is released. */
  private void whileThePollerIsBusy(CountDownLatch busy, CountDownLatch release) throws Exception {
    toModule =
        message -> {
          busy.countDown();
          TestPeer.await(release);
        };
    connect(poller);
    client.write(get("other"));
    busy.await();
    toModule = module::add;
  }

  /**
   * What lay in the kernel while the poller had other things to do has less time left than it says.
   */
  @Test
  void aDeadlineRunsWhileItsRequestLiesInTheKernel() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    TestPeer.Line waits = client;
    awaitRegistered();
    whileThePollerIsBusy(new CountDownLatch(1), release);
    long before = now.get();
    waits.write(GET);
    now.addAndGet(SECOND);
    release.countDown();
    assertEquals(before + SECOND * 3 / 2, arrived().deadlineNanos());
  }

  /**
   * Who was stopped while it waited finds what came long ago, and its clients have less time left.
   */
  @Test
  void aDeadlineRunsWhileTheProcessIsStopped() throws Exception {
    AtomicLong arrivedAt = new AtomicLong();
    toModule =
        message -> {
          arrivedAt.set(now.get());
          module.add(message);
        };
    // Each look at the clock by the poller finds it a second later: no wait ends when it should.
    clock =
        () ->
            Thread.currentThread().getName().equals("clients") ? now.addAndGet(SECOND) : now.get();
    ClientPoller stopped = new ClientPoller(() -> clock.now());
    connect(stopped);
    stopped.start();
    awaitRegistered();
    client.write(GET);
    long deadline = arrived().deadlineNanos();
    // From the begin of the wait, a second before its end, which was a second ago.
    long latest = arrivedAt.get() - 2 * SECOND + SECOND * 3 / 2;
    assertTrue(deadline <= latest, deadline + " is after " + latest);
  }

  /** The poller has made the connection known to its selector once it has answered on it. */
  private void awaitRegistered() throws Exception {
    client.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", client.answer());
    awaitQuiet();
  }

  /**
   * The same for one that was read and waits behind others: its time runs from its own last byte.
   */
  @Test
  void aDeadlineRunsWhileItsRequestWaitsForRoom() throws Exception {
    for (int i = 0; i < 33; i++) {
      client.write(get("id" + i));
    }
    ClientRequest first = arrived();
    for (int i = 1; i < 33; i++) {
      arrived();
    }
    long before = now.get();
    client.write(get("waits"));
    awaitHalfRead();
    now.addAndGet(SECOND);
    first.respond(Slice.of("+v\r\n"));
    assertEquals(before + SECOND * 3 / 2, arrived().deadlineNanos());
  }

  /** A request that crosses the end of its resting connection is served, or else left unread. */
  @Test
  void aRestingConnectionIsNotEndedOverARequestThatLiesInTheKernel() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    TestPeer.Line rests = client;
    awaitRegistered();
    whileThePollerIsBusy(new CountDownLatch(1), release);
    rests.write(GET);
    now.addAndGet(3 * SECOND);
    connections.sweep(now.get());
    release.countDown();
    arrived().respond(Slice.of("+v\r\n"));
    assertEquals("+v", rests.answer());
  }

  /**
   * A client that always has something out must not keep its connection to the end of a planned
   * stop.
   */
  @Test
  void atAPlannedStopWhatComesLateIsRefusedAndTheConnectionEndsAfterTheLastAnswer()
      throws Exception {
    TestPeer.Line stopping = client;
    ClientConnection stoppingConnection = connection;
    client.write(get("early"));
    ClientRequest early = arrived();
    connections.stop();
    now.addAndGet(SECOND / 10);
    // What comes before the poller's next look may have come before the stop, and would be served.
    awaitPollerRound();
    stopping.write(get("late"));
    TestPeer.until(
        () ->
            rejected.get() == 1 && stoppingConnection.partialCommandSinceNanos() == Long.MAX_VALUE);
    assertEquals(1, ids.count());
    early.respond(Slice.of("+v\r\n"));
    assertEquals("+v", stopping.answer());
    assertEquals("-BUSY 50", stopping.answer());
    TestPeer.until(
        () -> {
          connections.stop();
          return stopping.ended();
        });
    assertEquals(0, module.size());
  }

  /**
   * A request lies in the kernel while the poller is busy, and a planned stop begins meanwhile. The
   * poller cannot tell whether it came before the stop; so it is served.
   */
  @Test
  void atAPlannedStopWhatMayHaveComeBeforeItIsServed() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    toModule =
        message -> {
          module.add(message);
          busy.countDown();
          TestPeer.await(release);
        };
    client.write(get("early"));
    busy.await();
    connections.stop();
    now.addAndGet(SECOND / 10);
    client.write(get("late"));
    toModule = module::add;
    release.countDown();
    ClientRequest early = arrived();
    arrived().respond(Slice.of("+late\r\n"));
    early.respond(Slice.of("+early\r\n"));
    assertEquals("+early", client.answer());
    assertEquals("+late", client.answer());
    assertEquals("end", client.answer());
    assertEquals(0, rejected.get());
  }

  /** The client's next request would find the connection open for a moment, and be refused. */
  @Test
  void atAPlannedStopTheEndFollowsTheLastAnswerByItself() throws Exception {
    client.write(GET);
    ClientRequest call = arrived();
    connections.stop();
    call.respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.answer());
    assertEquals("end", client.answer());
  }

  /**
   * What the router reads it has to answer; so after the end of its sending it reads nothing more.
   */
  @Test
  void afterAPlannedStopHasEndedAConnectionNothingMoreIsReadOnIt() throws Exception {
    awaitRegistered();
    TestPeer.until(
        () -> {
          connections.stop();
          return connection.outputEndedAtNanos() < Long.MAX_VALUE;
        });
    client.write(GET);
    now.addAndGet(SECOND);
    awaitSwept();
    assertEquals(0, module.size());
    assertEquals(0, ids.count());
    assertThrows(IOException.class, () -> client.write("x"), "reset over unread bytes");
  }

  /** What is kept for an id goes with its answer. */
  @Test
  void anIdIsForgottenWithItsAnswer() throws Exception {
    client.write(GET);
    ClientRequest call = arrived();
    assertEquals(1, ids.count());
    call.reject(0);
    assertEquals(0, ids.count());
    client.write(GET);
    arrived();
    client.hangUp();
    assertTrue(module.poll(20, TimeUnit.SECONDS) instanceof RoutingMessage.ClientDisconnected);
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

  /**
   * An error in the values of one command is answered in its place; the framing around it is sound.
   */
  @Test
  void aCommandThatIsRejectedCostsThoseBehindItNothing() throws Exception {
    client.write(
        get("first")
            + get("none-left", "0")
            + get("far", "999999")
            + get("no-class").replace("c=read", "c=none")
            + get("first")
            + "*1\r\n:5\r\n"
            + get("last"));
    ClientRequest first = arrived();
    arrived().respond(Slice.of("+last\r\n"));
    first.respond(Slice.of("+first\r\n"));
    assertEquals("+first", client.answer());
    for (int i = 0; i < 5; i++) {
      assertTrue(client.answer().startsWith("-ERR "), "command " + i);
    }
    assertEquals("+last", client.answer());
    client.write(get("another"));
    arrived().respond(Slice.of("+another\r\n"));
    assertEquals("+another", client.answer());
    assertEquals(0, ids.count());
  }

  /** Its first command has begun: the client is at work, however many wait for its place. */
  @Test
  void aClientThatHasBegunItsFirstCommandDoesNotMakeRoom() throws Exception {
    awaitRegistered();
    connect(poller);
    client.write(GET.substring(0, 9));
    awaitHalfRead();
    now.addAndGet(SECOND / 10);
    TestPeer.Line begun = client;
    connections.makeRoom(now.get());
    connections.makeRoom(now.get());
    begun.write(GET.substring(9));
    arrived().respond(Slice.of("+v\r\n"));
    assertEquals("+v", begun.answer());
  }

  /**
   * A part of a command that comes after its connection was chosen to end, and is read before the
   * poller turns to that end.
   */
  @Test
  void anEndThatWasChosenBeforeACommandBeganIsCalledOff() throws Exception {
    TestPeer.Line rests = client;
    ClientConnection resting = connection;
    awaitRegistered();
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch busyAgain = new CountDownLatch(1);
    CountDownLatch releaseAgain = new CountDownLatch(1);
    whileThePollerIsBusy(busy, release);
    toModule =
        message -> {
          busyAgain.countDown();
          TestPeer.await(releaseAgain);
        };
    // One look of the poller finds both, in this order, and is held up at the first.
    client.write(get("again"));
    rests.write(GET.substring(0, 9));
    release.countDown();
    busyAgain.await();
    toModule = module::add;
    resting.endIfQuiet(EndReason.IDLE);
    releaseAgain.countDown();
    TestPeer.until(
        () -> resting.partialCommandSinceNanos() < Long.MAX_VALUE || resting.isLeaving());
    awaitPollerRound();
    rests.write(GET.substring(9));
    arrived().respond(Slice.of("+v\r\n"));
    assertEquals("+v", rests.answer());
  }

  /** Whatever the poller was called for before has been done. */
  private void awaitPollerRound() throws Exception {
    connect(poller);
    client.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", client.answer());
  }

  /**
   * A client that sends wrong commands as fast as it gets their errors waits; it is not cut off for
   * it.
   */
  @Test
  void rejectionsBeyondTheirPaceWaitAndWhatStandsBehindThemIsServed() throws Exception {
    client.write("*1\r\n:5\r\n".repeat(20) + get("behind"));
    for (int i = 0; i < 16; i++) {
      assertTrue(client.answer().startsWith("-ERR "), "command " + i);
    }
    connections.sweep(now.get());
    awaitPollerRound();
    assertEquals(0, module.size());
    now.addAndGet(SECOND / 10);
    connections.sweep(now.get());
    arrived().respond(Slice.of("+v\r\n"));
  }

  /** The router's own failure on a connection frees nobody of an answer. */
  @Test
  void aDefectFailsWhatIsOpenAndEndsTheConnectionAfterIt() throws Exception {
    client.write(get("open"));
    arrived();
    toModule =
        message -> {
          if (message instanceof RoutingMessage.RequestReceived) {
            throw new IllegalStateException("put in by the test");
          }
        };
    client.write(get("fails"));
    assertEquals("-ERR failed", client.answer());
    assertEquals("-ERR failed", client.answer());
    assertEquals("-ERR internal error", client.answer());
    assertEquals("end", client.answer());
    assertEquals(0, ids.count());
  }

  /**
   * Half-begun crowds must not keep others out; a client that writes slowly must not be taken for
   * one.
   */
  @Test
  void aCommandThatStandsStillMakesRoomLastOfAll() throws Exception {
    client.write(GET.substring(0, 9));
    awaitHalfRead();
    now.addAndGet(SECOND * 2 / 5);
    assertFalse(connections.makeRoom(now.get()));
    client.write(GET.substring(9, 12));
    TestPeer.until(() -> connection.stalledSinceNanos() == now.get());
    now.addAndGet(SECOND * 2 / 5);
    assertFalse(connections.makeRoom(now.get()));
    now.addAndGet(SECOND / 5);
    assertTrue(connections.makeRoom(now.get()));
    assertEquals("end", client.answer());
  }
}
