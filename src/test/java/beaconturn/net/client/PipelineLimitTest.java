package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.ClientRequest;
import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.core.Samples;
import beaconturn.net.TestPeer;
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestMetrics;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that pipeline must not use up the heap with requests. */
@Timeout(60)
class PipelineLimitTest {
  private static final int LIMIT = 8;
  private static final int CLIENTS = 5;
  private static final int COMMANDS = 10;
  private static final Slice RESPONSE = Slice.of("+1\r\n");

  private final PipelineLimit limit = new PipelineLimit(LIMIT);
  private final BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();
  private final List<TestPeer.Connection> clients = new ArrayList<>();
  private LoopbackListener server;

  @BeforeEach
  void listen() throws IOException {
    server = new LoopbackListener();
  }

  @AfterEach
  void close() throws IOException {
    clients.forEach(TestPeer.Connection::close);
    server.close();
  }

  private ClientWriter connect() throws Exception {
    clients.add(server.connect(accepted::add));
    return new ClientWriter(accepted.take(), Clock.system(), limit, idle -> {});
  }

  private static List<ResponseSlot> sendAsManyAsPermitted(ClientWriter client) {
    List<ResponseSlot> commands = new ArrayList<>();
    while (client.hasCapacity()) {
      ResponseSlot command = new ResponseSlot();
      assertTrue(client.enqueue(command));
      commands.add(command);
    }
    return commands;
  }

  @Test
  void clientsThatPipelineLeaveOneCommandToEachOther() throws Exception {
    List<ResponseSlot> pipelined = sendAsManyAsPermitted(connect());
    assertEquals(LIMIT, pipelined.size());
    ClientWriter other = connect();
    for (int i = 0; i < 3; i++) {
      List<ResponseSlot> single = sendAsManyAsPermitted(other);
      assertEquals(1, single.size());
      single.get(0).fill(RESPONSE);
    }
    pipelined.get(0).fill(RESPONSE);
    assertEquals(LIMIT - 1, limit.inFlight());
    assertEquals(1, sendAsManyAsPermitted(other).size());
  }

  /** A command that waits for the limit is served once its connection has its other responses. */
  @Test
  void commandsThatWaitAreAllServed() throws Exception {
    BlockingQueue<ClientRequest> requests = new LinkedBlockingQueue<>();
    ClientConnections connections = new ClientConnections(9, 9);
    ConnectionContext context = context(requests, connections);
    for (int i = 0; i < CLIENTS; i++) {
      TestPeer.Connection client =
          server.connect(accepted -> start(accepted, context, connections));
      clients.add(client);
      client.write(gets(i));
    }
    // Returns once the poller has read what was written before.
    TestPeer.Connection last = server.connect(accepted -> start(accepted, context, connections));
    clients.add(last);
    last.write("*1\r\n$4\r\nPING\r\n");
    assertEquals("-ERR starting", last.readResponse());
    assertTrue(requests.size() <= LIMIT + CLIENTS, requests.size() + " in flight");
    for (int served = 0; served < CLIENTS * COMMANDS; served++) {
      ClientRequest request = requests.take();
      request.respond(Slice.of("+" + request.id() + "\r\n"));
    }
    for (int i = 0; i < CLIENTS; i++) {
      for (int command = 0; command < COMMANDS; command++) {
        assertEquals("+" + id(i, command), clients.get(i).readResponse());
      }
    }
    assertEquals(0, limit.inFlight());
  }

  private ConnectionContext context(
      BlockingQueue<ClientRequest> requests, ClientConnections connections) throws IOException {
    ClientPoller poller = new ClientPoller(Clock.system());
    poller.start();
    return new ConnectionContext(
        () -> new RequestParser(Samples.read(), RequestMetrics.NONE),
        Clock.system(),
        new Lifecycle(),
        message -> requests.add(((RoutingMessage.RequestReceived) message).request()),
        poller,
        new PendingRequestIds(),
        new LargeRequestMemory(9 << 16),
        new ResponseMemory(1 << 24),
        limit,
        new ClientEventLog(),
        connections::remove);
  }

  private static void start(
      SocketChannel accepted, ConnectionContext context, ClientConnections connections) {
    ClientConnection connection = new ClientConnection(accepted, context);
    connections.add(connection);
    connection.start();
  }

  private static String id(int client, int command) {
    return "id" + client + command;
  }

  private static String gets(int client) {
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < COMMANDS; i++) {
      out.append("*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$4\r\n" + id(client, i))
          .append("\r\n$13\r\nc=read,d=1500\r\n");
    }
    return out.toString();
  }

  @Test
  void connectionThatIsClosedCountsOnce() throws Exception {
    ClientWriter client = connect();
    List<ResponseSlot> commands = sendAsManyAsPermitted(client);
    commands.get(0).fill(RESPONSE);
    client.discardPending();
    commands.get(1).fill(RESPONSE);
    client.discardPending();
    assertEquals(0, limit.inFlight());
    assertFalse(client.enqueue(new ResponseSlot()));
    assertEquals(0, limit.inFlight());
  }

  @Test
  void equalRejectionsInARowCountOnce() throws Exception {
    ClientWriter client = connect();
    ResponseSlot first = new ResponseSlot();
    client.enqueue(first);
    client.enqueueRepeatable(RESPONSE);
    client.enqueueRepeatable(RESPONSE);
    assertEquals(2, limit.inFlight());
    first.fill(RESPONSE);
    assertEquals(0, limit.inFlight());
  }
}
