package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Clock;
import beaconturn.net.TestPeer;
import beaconturn.protocol.Slice;
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
