package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Clock;
import beaconturn.core.RequestDescription;
import beaconturn.net.TestPeer;
import beaconturn.net.server.CacheServerTest;
import beaconturn.protocol.Slice;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Large responses that wait behind a slow one must not use up the heap. */
@Timeout(60)
class ResponseMemoryTest {
  private static final int LARGE_BYTES = 60_000;
  private static final int LIMIT_BYTES = 16 * LARGE_BYTES;
  private static final Slice LARGE = new Slice(new byte[LARGE_BYTES], 0, LARGE_BYTES);
  private final ResponseMemory memory = new ResponseMemory(LIMIT_BYTES);

  private static RespClientRequest request(String id) {
    return new RespClientRequest(
        new RequestDescription(0, 1, false, false, 0, 0, 0),
        1,
        new RequestParser.Parts(Slice.of(id), Slice.of(id), Map.of(), null),
        CacheServerTest.READING,
        () -> {});
  }

  @Test
  void responsesBeyondTheShareOfConnectionFail() throws Exception {
    BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();
    try (LoopbackListener server = new LoopbackListener();
        TestPeer.Connection client = server.connect(accepted::add)) {
      ClientWriter writer =
          new ClientWriter(accepted.take(), Clock.system(), new PipelineLimit(1000), idle -> {});
      WaitingResponses waiting =
          new WaitingResponses(writer, memory.ofConnection(), Clock.system(), () -> {});
      List<RespClientRequest> requests = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        RespClientRequest request = request("id" + i);
        request.limitResponse(waiting);
        requests.add(request);
        writer.enqueue(request);
      }
      for (int i = 7; i > 0; i--) {
        requests.get(i).respond(LARGE);
      }
      assertEquals(4 * LARGE_BYTES, memory.reservedBytes());
      for (int i = 1; i < 8; i++) {
        assertEquals(i >= 4, requests.get(i).bytes() == LARGE, "number " + i);
      }
      requests.get(0).respond(LARGE);
      assertEquals(LARGE.toString(), client.readBytes(LARGE_BYTES));
      writer.discardPending();
      assertEquals(0, memory.reservedBytes());
      assertFalse(client.isClosedByPeer());
    }
  }

  @Test
  void connectionsShareTheMemory() {
    int kept = 0;
    for (int connection = 0; connection < 40; connection++) {
      ResponseMemory.OfConnection part = memory.ofConnection();
      for (int i = 0; i < 8; i++) {
        kept += part.reserve(LARGE_BYTES, "id", 0) ? 1 : 0;
      }
    }
    assertEquals(LIMIT_BYTES / LARGE_BYTES, kept);
    assertFalse(memory.ofConnection().reserve(LARGE_BYTES, "id", 0));
  }

  @Test
  void oneConnectionLeavesMemoryToOthers() {
    ResponseMemory.OfConnection greedy = memory.ofConnection();
    int kept = 0;
    while (greedy.reserve(LARGE_BYTES, "id", 0)) {
      kept++;
    }
    assertEquals(4, kept);
    assertTrue(memory.ofConnection().reserve(LARGE_BYTES, "id", 0));
  }

  /** Collected responses never make memory scarce for those that wait behind others. */
  @Test
  void collectedResponsesLeaveHalfOfTheMemory() {
    ResponseMemory.OfConnection collecting = memory.ofConnection();
    assertTrue(collecting.reserveCollected(LIMIT_BYTES / 2, () -> {}));
    assertFalse(collecting.reserveCollected(LARGE_BYTES, () -> {}));
    assertTrue(collecting.reserve(LIMIT_BYTES / 16, "id", 0));
    collecting.releaseCollected(LIMIT_BYTES / 2);
    assertEquals(LIMIT_BYTES / 16, memory.reservedBytes());
  }

  /** Guards against a response that finds the memory taken by later ones each time it is free. */
  @Test
  void collectedResponsesGetMemoryInOrder() {
    ResponseMemory.OfConnection collecting = memory.ofConnection();
    List<String> retries = new ArrayList<>();
    Runnable first = () -> retries.add("first");
    Runnable second = () -> retries.add("second");
    assertTrue(collecting.reserveCollected(LIMIT_BYTES / 2, () -> {}));
    assertFalse(collecting.reserveCollected(LIMIT_BYTES / 2, first));
    assertFalse(collecting.reserveCollected(LARGE_BYTES, second));
    collecting.releaseCollected(LIMIT_BYTES / 2);
    assertFalse(collecting.reserveCollected(LARGE_BYTES, second), "the first is next");
    assertTrue(collecting.reserveCollected(LIMIT_BYTES / 2, first));
    collecting.releaseCollected(LIMIT_BYTES / 2);
    collecting.stopWaiting(second);
    assertTrue(collecting.reserveCollected(LARGE_BYTES, () -> {}));
    assertEquals(List.of("first", "second", "second"), retries);
  }
}
