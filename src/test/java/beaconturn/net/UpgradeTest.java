package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.decision.WarmStartState;
import beaconturn.net.client.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two processes of one router in an upgrade: what is left to the next, seats, the socket that both
 * have.
 */
@Timeout(30)
class UpgradeTest {
  private static final WarmStartState LEARNED = new WarmStartState(1e-7, 2e-7, 4e7, 8e7, 12, 1e9);
  @TempDir private Path folder;
  private final BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();

  @Test
  void whatIsLeftIsReadWhileItIsFreshAndNotIfItIsCutOrChangedAnywhere() throws IOException {
    Path path = folder.resolve("learned");
    UpgradeState file = new UpgradeState(path);
    assertNull(file.read(5000));
    file.write(LEARNED, 5000);
    assertEquals(LEARNED, file.read(9000));
    assertNull(file.read(60_000));
    file.write(new WarmStartState(Double.NaN, 0, 0, 0, 1, 1), 5000);
    assertNull(file.read(5000));
    file.write(LEARNED, 5000);
    byte[] whole = Files.readAllBytes(path);
    for (int i = 0; i < whole.length; i++) {
      Files.write(path, Arrays.copyOf(whole, i));
      assertNull(file.read(5000), "cut at " + i);
      byte[] changed = whole.clone();
      changed[i] ^= 1;
      Files.write(path, changed);
      assertNull(file.read(5000), "changed at " + i);
    }
  }

  @Test
  void eachOfTwoProcessesSeesTheOtherAsLongAsItRunsAndWithoutAFileIsNeverAlone()
      throws IOException {
    Path path = folder.resolve("seats");
    ProcessSlots first = new ProcessSlots(path);
    assertFalse(first.beside());
    ProcessSlots second = new ProcessSlots(path);
    assertTrue(first.beside());
    assertTrue(second.beside());
    first.close();
    assertFalse(second.beside());
    try (ProcessSlots third = new ProcessSlots(path)) {
      assertTrue(second.beside());
      assertTrue(third.beside());
    }
    assertFalse(second.beside());
    second.close();
    try (ProcessSlots none = new ProcessSlots(folder.resolve("missing").resolve("seats"))) {
      assertTrue(none.beside());
    }
  }

  @Test
  void oneThatStopsLeavesTheSharedSocketAndItsQueueToTheOther()
      throws IOException, InterruptedException {
    try (ServerSocketChannel shared = ServerSocketChannel.open()) {
      shared.bind(new InetSocketAddress("127.0.0.1", 0));
      Listener before = Listener.sharing(shared, accepted::add);
      before.start();
      TestPeer.Line.to(before.address()).close();
      accepted.take().close();
      before.close();
      TestPeer.Line.to(before.address()).close();
      Listener after = Listener.sharing(shared, accepted::add);
      after.start();
      accepted.take().close();
      TestPeer.Line.to(after.address()).close();
      accepted.take().close();
      after.close();
      assertTrue(shared.isOpen());
      assertEquals(0, accepted.size());
    }
  }
}
