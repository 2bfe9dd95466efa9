package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.ClientRequest;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.net.TestPeer;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Large requests on real connections, with memory for fewer of them than there are clients; time
 * stands still.
 */
@Timeout(60)
class LargeRequestsTest {
  /** How many large requests fit into memory. */
  private static final int CAPACITY = 4;

  private static final int VALUE_BYTES = 40_000;

  /** More than is read ahead without a reservation of memory. */
  private static final int PART_BYTES = 30_000;

  private static final String VALUE = "v".repeat(VALUE_BYTES);
  private static final String BUSY = "-BUSY 100";

  private final AtomicLong nowNanos = new AtomicLong(1_000_000_000);
  private final BlockingQueue<RoutingMessage> routingQueue = new LinkedBlockingQueue<>();
  private final LargeRequestMemory memory = new LargeRequestMemory(CAPACITY * 41_000);
  private final ClientConnections connections = new ClientConnections(99, 99);
  private final PendingRequestIds ids = new PendingRequestIds();
  private final RejectionCounter metrics = new RejectionCounter();
  private final List<TestPeer.Connection> clients = new ArrayList<>();
  private LoopbackListener server;
  private ClientPoller poller;

  @BeforeEach
  void start() throws IOException {
    server = new LoopbackListener();
    poller = new ClientPoller(nowNanos::get, 0);
    poller.start();
  }

  @AfterEach
  void end() throws IOException {
    clients.forEach(TestPeer.Connection::disconnect);
    server.close();
  }

  private TestPeer.Connection connect() throws Exception {
    TestPeer.Connection client = server.connect(this::serve);
    clients.add(client);
    ping(client);
    return client;
  }

  private void serve(SocketChannel accepted) {
    ClientConnection connection =
        new ClientConnection(
            accepted,
            new ConnectionContext(
                () -> new RequestParser(Samples.read(), metrics),
                nowNanos::get,
                new Lifecycle(),
                routingQueue::add,
                poller,
                ids,
                memory,
                new ResponseMemory(1 << 24),
                new PipelineLimit(1000),
                new ClientEventLog(),
                connections::remove));
    connections.add(connection);
    connection.start();
  }

  /** Returns after the poller has read what it reported as readable before. */
  private static void ping(TestPeer.Connection client) throws Exception {
    client.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", client.readResponse());
  }

  private static String get(String id) {
    return "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$13\r\n"
        + "c=read,d=1500\r\n";
  }

  private static String set(String id) {
    return set(id, VALUE);
  }

  private static String set(String id, String value) {
    return headOfSet(id, value.length()) + value + "\r\n";
  }

  private static String headOfSet(String id, int valueBytes) {
    return "*5\r\n$5\r\nC.SET\r\n$1\r\na\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$12\r\n"
        + "c=ack,d=1500\r\n$"
        + valueBytes
        + "\r\n";
  }

  /** Connects clients that send a part of a large request, and waits until it has been read. */
  private List<TestPeer.Connection> connectStopped(int count, int partBytes) throws Exception {
    List<TestPeer.Connection> stopped = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      TestPeer.Connection client = connect();
      client.write(headOfSet("stopped" + i, VALUE_BYTES) + VALUE.substring(0, partBytes));
      stopped.add(client);
    }
    TestPeer.Connection prober = connect();
    for (int round = 0; round < 2 + partBytes / ClientInputBuffer.READ_AHEAD_BYTES; round++) {
      ping(prober);
    }
    return stopped;
  }

  /** The number of large requests that memory is reserved for. */
  private long held() {
    return memory.reservedBytes() / VALUE_BYTES;
  }

  private ClientRequest nextRequest() throws InterruptedException {
    RoutingMessage message = routingQueue.poll(10, TimeUnit.SECONDS);
    assertNotNull(message, "no request was read");
    return ((RoutingMessage.RequestReceived) message).request();
  }

  private void assertServed(TestPeer.Connection client, ClientRequest request) throws Exception {
    List<Slice> encoded = request.encode(1);
    assertEquals("$" + VALUE_BYTES + "\r\n" + VALUE + "\r\n", encoded.get(3).toString());
    request.respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
  }

  /** Guards against whole requests that stay unread while other clients stop within theirs. */
  @ParameterizedTest
  @ValueSource(ints = {200, PART_BYTES})
  void servesWholeRequestsWhileOthersStopWithinTheirs(int partBytes) throws Exception {
    connectStopped(2 * CAPACITY, partBytes);
    nowNanos.addAndGet(LargeRequestMemory.REVOCABLE_AFTER_NANOS);
    for (int i = 0; i < CAPACITY; i++) {
      TestPeer.Connection client = connect();
      client.write(set("whole" + i));
      assertServed(client, nextRequest());
    }
  }

  /** Guards against whole requests that stay unread while those of others are slow. */
  @Test
  void rejectsWholeRequestAtOnceWhileAllMemoryIsInUse() throws Exception {
    List<TestPeer.Connection> holders = new ArrayList<>();
    List<ClientRequest> inFlight = new ArrayList<>();
    for (int i = 0; i < CAPACITY; i++) {
      holders.add(connect());
      holders.get(i).write(set("holder" + i));
      inFlight.add(nextRequest());
    }
    nowNanos.addAndGet(LargeRequestMemory.REVOCABLE_AFTER_NANOS);
    TestPeer.Connection client = connect();
    client.write(set("rejected") + get("next"));
    assertEquals(BUSY, client.readResponse());
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    assertServed(holders.get(0), inFlight.get(0));
    client.write(set("served"));
    assertServed(client, nextRequest());
  }

  /** Guards against a client without pauses that takes all memory for large requests for good. */
  @Test
  void releasesMemoryOfAnsweredRequestOnBusyConnection() throws Exception {
    TestPeer.Connection busy = connect();
    busy.write(get("open"));
    ClientRequest open = nextRequest();
    for (int i = 0; i < 3 * CAPACITY; i++) {
      busy.write(set("behind" + i));
      ClientRequest large = nextRequest();
      large.respond(Slice.of("+v\r\n"));
      TestPeer.until(() -> large.encode(1).size() == 3);
    }
    assertEquals(0, held());
    open.respond(Slice.of("+v\r\n"));
    assertEquals("+v", busy.readResponse());
  }

  /** A client that continues after its memory was revoked gets an answer and can go on. */
  @Test
  void rejectsRequestWhoseMemoryWasRevoked() throws Exception {
    List<TestPeer.Connection> stopped = connectStopped(CAPACITY, PART_BYTES);
    assertEquals(CAPACITY, held());
    nowNanos.addAndGet(LargeRequestMemory.REVOCABLE_AFTER_NANOS);
    TestPeer.Connection client = connect();
    client.write(set("whole"));
    ClientRequest whole = nextRequest();
    stopped.get(0).write(VALUE.substring(PART_BYTES) + "\r\n" + set("after"));
    assertEquals(BUSY, stopped.get(0).readResponse());
    assertServed(stopped.get(0), nextRequest());
    stopped.get(CAPACITY - 1).write(VALUE.substring(PART_BYTES) + "\r\n");
    assertServed(stopped.get(CAPACITY - 1), nextRequest());
    assertServed(client, whole);
  }

  /** A burst must not cost clients that are still sending their requests. */
  @Test
  void doesNotRevokeMemoryOfCommandThatHasJustBegun() throws Exception {
    List<TestPeer.Connection> sending = connectStopped(CAPACITY, PART_BYTES);
    nowNanos.addAndGet(LargeRequestMemory.REVOCABLE_AFTER_NANOS - 1);
    TestPeer.Connection client = connect();
    client.write(set("whole"));
    assertEquals(BUSY, client.readResponse());
    for (TestPeer.Connection sender : sending) {
      sender.write(VALUE.substring(PART_BYTES) + "\r\n");
      assertServed(sender, nextRequest());
    }
  }

  /** Guards against memory that stays reserved for connections that have ended. */
  @Test
  void releasesMemoryOfConnectionsThatEnd() throws Exception {
    List<TestPeer.Connection> stopped = connectStopped(CAPACITY, PART_BYTES);
    assertEquals(CAPACITY, held());
    stopped.get(0).disconnect();
    stopped.get(1).write(VALUE.substring(PART_BYTES) + "no line end");
    assertTrue(stopped.get(1).readResponse().startsWith("-ERR"));
    stopped.get(2).write(VALUE.substring(PART_BYTES) + "\r\n");
    nextRequest();
    stopped.get(2).disconnect();
    nowNanos.addAndGet(3_000_000_000L);
    TestPeer.until(
        () -> {
          connections.sweep(nowNanos.get());
          return held() == 0;
        });
    assertEquals("end", stopped.get(3).readResponse());
  }

  /** A command within the read-ahead has arrived, so it goes before any that is still arriving. */
  @Test
  void prefersCompleteCommandToArrivingOnes() throws Exception {
    List<TestPeer.Connection> stopped = connectStopped(CAPACITY, PART_BYTES);
    TestPeer.Connection client = connect();
    client.write(set("medium", "v".repeat(10_000)));
    nextRequest().respond(Slice.of("+v\r\n"));
    assertEquals("+v", client.readResponse());
    assertEquals(CAPACITY - 1, held());
    stopped.get(0).write(VALUE.substring(PART_BYTES) + "\r\n");
    assertEquals(BUSY, stopped.get(0).readResponse());
  }

  /** Guards against a full heap: a pipeline must not hold more than the limit in smaller pieces. */
  @Test
  void countsCompleteCommandsWithinReadAhead() throws Exception {
    TestPeer.Connection client = connect();
    int fitting = CAPACITY * 41_000 / 10_100;
    for (int i = 0; i <= fitting; i++) {
      client.write(set("medium" + i, "v".repeat(10_000)));
    }
    List<ClientRequest> requests = new ArrayList<>();
    for (int i = 0; i < fitting; i++) {
      requests.add(nextRequest());
    }
    TestPeer.until(() -> metrics.count() == 1);
    requests.forEach(request -> request.respond(Slice.of("+v\r\n")));
    for (int i = 0; i < fitting; i++) {
      assertEquals("+v", client.readResponse());
    }
    assertEquals(BUSY, client.readResponse());
    assertEquals(0, held());
  }

  /** Guards against a full heap: a reservation must not be exceeded. */
  @Test
  void rejectsCommandWithFurtherLongArguments() throws Exception {
    TestPeer.Connection client = connect();
    String argument = "$" + VALUE_BYTES + "\r\n" + VALUE + "\r\n";
    client.write("*5\r\n$5\r\nC.SET\r\n" + argument + argument);
    assertEquals("-ERR command too long", client.readResponse());
    TestPeer.until(() -> memory.reservedBytes() == 0);
  }

  /** Guards against writes that are forwarded without their value, behind a head of over 4 KB. */
  @Test
  void rejectsRequestWithLongHeadWhoseMemoryWasRevoked() throws Exception {
    StringBuilder attributes = new StringBuilder("c=ack,d=1500");
    for (char name = 'a'; name < 'a' + 14; name++) {
      attributes.append(',').append(String.valueOf(name).repeat(32)).append('=');
      attributes.append("a".repeat(256));
    }
    TestPeer.Connection client = connect();
    client.write(
        headOfSet("long", VALUE_BYTES)
                .replace("$12\r\nc=ack,d=1500", "$" + attributes.length() + "\r\n" + attributes)
            + VALUE.substring(0, PART_BYTES));
    TestPeer.until(() -> held() == 1);
    nowNanos.addAndGet(LargeRequestMemory.REVOCABLE_AFTER_NANOS);
    connectStopped(CAPACITY, PART_BYTES);
    client.write(VALUE.substring(PART_BYTES) + "\r\n");
    assertEquals(BUSY, client.readResponse());
    assertEquals(0, routingQueue.size());
  }
}
