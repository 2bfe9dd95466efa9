package beaconturn.net.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.AttemptResult;
import beaconturn.core.ClientRequest;
import beaconturn.core.Clock;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RequestDescription;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.net.TestPeer;
import beaconturn.net.client.RequestParser;
import beaconturn.net.client.RespClientRequest;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestMetrics;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** What comes back from a cache server, outcome by outcome of the protocol's table. */
public class CacheServerTest {
  private static final long SECOND = 1_000_000_000;
  private static final String VALUE = "*3\r\n$2\r\nva\r\n$4\r\nmiss\r\n$-1\r\n";
  private final Clock system = Clock.system();
  private final AtomicLong passed = new AtomicLong();

  /** The time at which the clock stands still, or 0 while it goes. */
  private final AtomicLong still = new AtomicLong();

  private final Clock clock = () -> still.get() != 0 ? still.get() : system.now() + passed.get();
  private final BlockingQueue<RoutingMessage> module = new LinkedBlockingQueue<>();
  public static final RespClientRequest.ParseContext READ =
      new RespClientRequest.ParseContext(null, "read", 0, RequestMetrics.NONE);
  private int sent;

  static CacheServerEnvironment environment(
      Clock clock,
      Consumer<RoutingMessage> module,
      ConnectionLimit places,
      long idleTime,
      WorkerPool workers) {
    CacheServerThread actors = new CacheServerThread(idleTime);
    actors.start();
    return new CacheServerEnvironment(
        clock,
        module,
        places,
        new CacheResponseReader(Samples.read().routing()),
        SECOND,
        idleTime,
        RequestMetrics.NONE,
        actors,
        workers,
        () -> true);
  }

  private CacheServer server(InetSocketAddress dial, int connections, long idleTime) {
    CacheServer server =
        new CacheServer(
            environment(
                clock,
                module::add,
                new ConnectionLimit(connections),
                idleTime,
                new WorkerPool("test-cache", SECOND)),
            "s-1",
            dial);
    server.start();
    return server;
  }

  private CacheServer server(TestPeer peer) {
    return server(peer.address(), 100, 60 * SECOND);
  }

  private OutboundAttempt attempt(Slice value) {
    String name = "key-" + sent;
    ClientRequest call =
        new RespClientRequest(
            new RequestDescription(0, 1, false, false, 0, 0, 0),
            clock.now() + 100 * SECOND,
            new RequestParser.Parts(
                Slice.of("$5\r\nC.GET\r\n" + RespWriter.bulk(name) + RespWriter.bulk("id")),
                Slice.of("id"),
                Map.of("d", "1"),
                value),
            READ,
            () -> {});
    return new OutboundAttempt(++sent, 0, 7, call, clock.now(), 100 * SECOND);
  }

  /** Sends once the connections of earlier answers have settled. */
  private OutboundAttempt send(CacheServer server) {
    passed.addAndGet(SECOND);
    OutboundAttempt attempt = attempt(null);
    assertTrue(server.send(attempt));
    return attempt;
  }

  private AttemptResult outcome(OutboundAttempt of) throws InterruptedException {
    RoutingMessage.AttemptCompleted ended =
        (RoutingMessage.AttemptCompleted) module.poll(20, TimeUnit.SECONDS);
    assertNotNull(ended, "no outcome");
    assertEquals(of, ended.attempt());
    return ended.result();
  }

  private void expect(AttemptOutcome ending, TestPeer.Script script) throws InterruptedException {
    try (TestPeer peer = new TestPeer(script)) {
      assertEquals(ending, outcome(send(server(peer))).outcome());
      assertEquals(1, peer.connections(), "nothing is sent again by itself");
    }
  }

  @Test
  void anArrayIsServedWithItsNoteInHoweverManyPieces() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              for (int i = 0; i < VALUE.length(); i++) {
                line.write(VALUE.substring(i, i + 1));
              }
              line.readCommand();
            })) {
      AttemptResult outcome = outcome(send(server(peer)));
      assertEquals(AttemptOutcome.OK, outcome.outcome());
      assertEquals(CacheStatus.MISS, outcome.cacheStatus());
      assertEquals("$2\r\nva\r\n", outcome.answer().toString());
    }
  }

  @Test
  void anErrorMayHaveRun() throws InterruptedException {
    expect(
        AttemptOutcome.ERROR,
        line -> {
          line.readCommand();
          line.write("-ERR failed\r\n");
          line.readCommand();
        });
  }

  /** Guards against a send that waited here while its router was told that the server drains. */
  @Test
  void whatStillWaitsWhenItsServerDrainsIsNotWritten() throws InterruptedException {
    try (TestPeer peer = new TestPeer(TestPeer.Connection::readCommand)) {
      CacheServer server = server(peer);
      server.acceptsRequests(false);
      assertEquals(AttemptOutcome.SUPERSEDED, outcome(send(server)).outcome());
      assertEquals(0, peer.connections());
    }
  }

  /** The client's close reaches the module later than those who write: they look themselves. */
  @Test
  void whatNobodyWaitsForIsNotWritten() throws InterruptedException {
    try (TestPeer peer = new TestPeer(TestPeer.Connection::readCommand)) {
      CacheServer server = server(peer);
      passed.addAndGet(SECOND);
      OutboundAttempt attempt = attempt(null);
      ((RespClientRequest) attempt.request()).abandoned();
      assertTrue(server.send(attempt));
      assertEquals(AttemptOutcome.SUPERSEDED, outcome(attempt).outcome());
      assertEquals(0, peer.connections());
    }
  }

  /** Nobody is told of a time that is over, in however small a number. */
  @Test
  void whatHasNoTimeLeftIsNotWritten() throws InterruptedException {
    try (TestPeer peer = new TestPeer(TestPeer.Connection::readCommand)) {
      CacheServer server = server(peer);
      OutboundAttempt attempt = attempt(null);
      passed.addAndGet(101 * SECOND);
      assertTrue(server.send(attempt));
      assertEquals(AttemptOutcome.SUPERSEDED, outcome(attempt).outcome());
      assertEquals(0, peer.connections());
    }
  }

  /** A connection that comes up after its client has gone carries nothing. */
  @Test
  void aClientThatLeavesWhileTheConnectionComesUpIsNotWrittenFor() throws Exception {
    try (TestPeer peer = new TestPeer(line -> line.note(line.readCommand()))) {
      CacheConnection connection =
          new CacheConnection(
              peer.address(),
              environment(
                  clock,
                  module::add,
                  new ConnectionLimit(1),
                  60 * SECOND,
                  new WorkerPool("test-cache", SECOND)),
              new IgnoringListener());
      OutboundAttempt attempt = attempt(null);
      ((RespClientRequest) attempt.request()).abandoned();
      connection.carry(attempt);
      assertEquals("end", peer.note());
    }
  }

  /** Permits every write and hears nothing. */
  private static final class IgnoringListener implements CacheConnectionListener {
    @Override
    public boolean mayWrite() {
      return true;
    }

    @Override
    public void responseBegun(OutboundAttempt attempt, long atNanos, BoundedPipe pipe) {}

    @Override
    public void attemptEnded(
        CacheConnection connection,
        OutboundAttempt attempt,
        AttemptResult result,
        boolean reusable) {}

    @Override
    public void connectionStale(OutboundAttempt attempt) {}

    @Override
    public void requestWritten() {}

    @Override
    public void unreadableResponse() {}

    @Override
    public void connectionClosed() {}
  }

  @Test
  void busyNeverRan() throws InterruptedException {
    expect(
        AttemptOutcome.REJECTED,
        line -> {
          line.readCommand();
          line.write("-BUSY\r\n");
        });
  }

  @Test
  void aConnectionThatEndsAfterTheLastByteIsAReset() throws InterruptedException {
    expect(AttemptOutcome.RESET, TestPeer.Connection::readCommand);
    expect(
        AttemptOutcome.RESET,
        line -> {
          line.readCommand();
          line.reset();
        });
    expect(
        AttemptOutcome.RESET,
        line -> {
          line.readCommand();
          line.write(VALUE.substring(0, VALUE.length() - 1));
        });
  }

  @Test
  void anAnswerUnlikeTheProtocolIsNoValue() throws InterruptedException {
    expect(
        AttemptOutcome.RESET,
        line -> {
          line.readCommand();
          line.write("HTTP/1.1 200 OK\r\n");
          line.readCommand();
        });
  }

  /**
   * It has run, so it is no failed connect; and what else comes on that connection belongs to
   * nothing.
   */
  @Test
  void aSpoiltAnswerMayHaveRunAndItsConnectionIsClosed() throws InterruptedException {
    for (String spoilt :
        List.of(
            ":5\r\n",
            "+OK\r\n",
            "-NOISE x\r\n",
            "$2\r\nva\r\n",
            "*-1\r\n",
            "*0\r\n",
            "*1\r\n$2\r\nva\r\n",
            "*1\r\n$-1\r\n",
            "*3\r\n:1\r\n$3\r\nhit\r\n$-1\r\n",
            "*3\r\n$-5\r\n",
            "*3\r\n$3000000000\r\nvvvv",
            "*3\r\n$1\r\nva\r\n",
            "\u0000\u00ff\n",
            "*99\r\n",
            "x".repeat(2000))) {
      try (TestPeer peer =
          new TestPeer(
              line -> {
                line.readCommand();
                line.write(spoilt);
                line.note(line.readCommand());
              })) {
        assertEquals(AttemptOutcome.RESET, outcome(send(server(peer))).outcome(), spoilt);
        assertTrue(List.of("end", "broken").contains(peer.note()), spoilt);
      }
    }
  }

  /**
   * A second copy right behind a good answer must not be taken for the answer of the next request.
   */
  @Test
  void aGoodAnswerWithMoreBehindItIsServedAndItsConnectionClosed() throws InterruptedException {
    for (String more : List.of(VALUE, VALUE.substring(0, 5), "noise")) {
      try (TestPeer peer =
          new TestPeer(
              line -> {
                line.readCommand();
                line.write(VALUE + more);
                line.note(line.readCommand());
              })) {
        CacheServer server = server(peer);
        assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
        assertTrue(List.of("end", "broken").contains(peer.note()));
        assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
        assertEquals(2, peer.connections());
      }
    }
  }

  /**
   * The same where the rest comes one read later, on a connection that stands idle, whole or in
   * part.
   */
  @Test
  void whatComesOnAnIdleConnectionClosesIt() throws InterruptedException {
    for (String more : List.of(VALUE, VALUE.substring(0, 5), "n")) {
      CountDownLatch later = new CountDownLatch(1);
      try (TestPeer peer =
          new TestPeer(
              line -> {
                line.readCommand();
                line.write(VALUE);
                later.await();
                line.write(more);
                line.note(line.readCommand());
              })) {
        CacheServer server = server(peer);
        assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
        later.countDown();
        assertTrue(List.of("end", "broken").contains(peer.note()));
        assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
        assertEquals(2, peer.connections());
      }
    }
  }

  /**
   * What an answer brings behind itself may still be on its way when the next request wants to go
   * out.
   */
  @Test
  void aConnectionIsNotUsedAgainAtTheMomentOfItsAnswer() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              while (!line.readCommand().equals("end")) {
                line.write(VALUE);
              }
            })) {
      CacheServer server = server(peer);
      outcome(send(server));
      passed.addAndGet(-system.now() - passed.get());
      OutboundAttempt next = attempt(null);
      assertTrue(server.send(next));
      assertEquals(AttemptOutcome.OK, outcome(next).outcome());
      assertEquals(2, peer.connections());
    }
  }

  @Test
  void aRefusedConnectionNeverRan() throws InterruptedException {
    TestPeer peer = new TestPeer(TestPeer.Connection::readCommand);
    peer.close();
    assertEquals(AttemptOutcome.CONNECT_FAILED, outcome(send(server(peer))).outcome());
  }

  @Test
  void withoutAPlaceForAConnectionNothingRan() throws InterruptedException {
    CountDownLatch over = new CountDownLatch(1);
    try (TestPeer peer = new TestPeer(line -> over.await())) {
      CacheServer server = server(peer.address(), 1, 60 * SECOND);
      send(server);
      assertEquals(AttemptOutcome.NOT_SENT, outcome(send(server)).outcome());
      over.countDown();
    }
  }

  @Test
  void connectionsAreUsedAgainOneRequestAtATime() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              for (String c = line.readCommand(); !c.equals("end"); c = line.readCommand()) {
                line.note(c.split(" ")[1]);
                line.write(VALUE);
              }
            })) {
      CacheServer server = server(peer);
      for (int i = 0; i < 5; i++) {
        assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
        assertEquals("key-" + i, peer.note());
      }
      assertEquals(1, peer.connections());
    }
  }

  /** A request behind another would wait for it, and giving one up would cut off the other. */
  @Test
  void requestsAtOnceGetConnectionsOfTheirOwn() throws InterruptedException {
    CountDownLatch over = new CountDownLatch(1);
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.note(line.readCommand());
              over.await();
            })) {
      CacheServer server = server(peer);
      send(server);
      send(server);
      peer.note();
      peer.note();
      assertEquals(2, peer.connections());
      over.countDown();
    }
  }

  /**
   * Nothing proves an attempt over but the end of its connection; and a reset, after which no
   * kernel goes on to deliver what a cut network holds up.
   */
  @Test
  void anAttemptGivenUpResetsItsConnection() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.note("begun");
              line.note(line.readCommand());
            })) {
      CacheServer server = server(peer);
      OutboundAttempt attempt = send(server);
      assertEquals("begun", peer.note());
      server.abort(attempt);
      assertEquals("broken", peer.note());
    }
  }

  /**
   * Connections that have not settled are not used again, and hold no place against a request
   * either.
   */
  @Test
  void answersFasterThanConnectionsSettleFindAPlace() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(VALUE);
              line.note(line.readCommand());
            })) {
      CacheServer server = server(peer.address(), 1, 60 * SECOND);
      // However late the second one is sent: the first connection must not have settled by then.
      still.set(system.now());
      for (int i = 0; i < 2; i++) {
        OutboundAttempt attempt = attempt(null);
        assertTrue(server.send(attempt));
        assertEquals(AttemptOutcome.OK, outcome(attempt).outcome());
      }
      assertEquals("end", peer.note());
      assertEquals(2, peer.connections());
    }
  }

  /** What was given up on its way must not run: a copy of it may already be out elsewhere. */
  @Test
  void anAttemptGivenUpBeforeItWasBegunIsNotWritten() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              for (String c = line.readCommand(); !c.equals("end"); c = line.readCommand()) {
                line.note(c.split(" ")[1]);
                line.write(VALUE);
              }
            })) {
      CacheServer server = server(peer);
      outcome(send(server));
      OutboundAttempt givenUp = attempt(null);
      givenUp.end(AttemptOutcome.CANCELLED);
      assertTrue(server.send(givenUp));
      server.abort(givenUp);
      outcome(send(server));
      assertEquals("key-0", peer.note());
      assertEquals("key-2", peer.note());
      assertEquals(List.of(), peer.remainingNotes());
    }
  }

  @Test
  void aConnectionThatThePeerHasClosedIsNotWrittenTo() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(VALUE);
              line.disconnect();
              line.note("closed");
            })) {
      CacheServer server = server(peer);
      assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
      peer.note();
      assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
      assertEquals(2, peer.connections());
      peer.note();
      // Nobody sends any more, and what the peer has closed still gives its place back.
      awaitQuiet(server);
    }
  }

  private static void awaitQuiet(CacheServer server) {
    while (!server.isQuiet()) {
      Thread.onSpinWait();
    }
  }

  /** The cache server closes idle connections; a request that crosses that would end as a reset. */
  @Test
  void idleConnectionsAreRetiredByTheRouterFirst() throws InterruptedException {
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.readCommand();
              line.write(VALUE);
              line.note(line.readCommand());
            })) {
      outcome(send(server(peer.address(), 10, SECOND / 20)));
      assertEquals("end", peer.note());
    }
  }

  @Test
  void aNewAddressIsUsedFromThenOn() throws InterruptedException {
    try (TestPeer old =
            new TestPeer(
                line -> {
                  line.readCommand();
                  line.write(VALUE);
                  line.note(line.readCommand());
                });
        TestPeer next =
            new TestPeer(
                line -> {
                  line.note(line.readCommand().split(" ")[0]);
                  line.write(VALUE);
                  line.readCommand();
                })) {
      CacheServer server = server(old);
      outcome(send(server));
      server.address(next.address());
      assertEquals(AttemptOutcome.OK, outcome(send(server)).outcome());
      assertEquals("C.GET", next.note());
      assertEquals("end", old.note(), "the idle connection to the old address is closed");
    }
  }

  /** A peer that reads nothing must not hold up what is sent to it next, nor what is given up. */
  @Test
  void aSilentPeerHoldsUpNothing() throws InterruptedException {
    CountDownLatch over = new CountDownLatch(1);
    try (TestPeer peer =
        new TestPeer(
            line -> {
              line.note("there");
              over.await();
            })) {
      CacheServer server = server(peer);
      Slice value = Slice.of("$65536\r\n" + "v".repeat(65536) + "\r\n");
      OutboundAttempt[] attempts = new OutboundAttempt[8];
      for (int i = 0; i < attempts.length; i++) {
        attempts[i] = attempt(value);
        assertTrue(server.send(attempts[i]));
      }
      for (int i = 0; i < attempts.length; i++) {
        peer.note();
      }
      for (OutboundAttempt attempt : attempts) {
        server.abort(attempt);
      }
      awaitQuiet(server);
      assertNull(
          module.stream()
              .filter(m -> ((RoutingMessage.AttemptCompleted) m).result().answer() != null)
              .findAny()
              .orElse(null));
      over.countDown();
    }
  }
}
