package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
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
import java.util.HexFormat;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two processes of one router during an upgrade: warm-start state, process slots, shared listening
 * socket.
 */
@Timeout(30)
class UpgradeTest {
  private static final WarmStartState STATE = new WarmStartState(1e-7, 2e-7, 4e7, 8e7, 12, 1e9);

  /** As the first version of this format wrote it. */
  private static final String STATE_AT_5000_MILLIS_HEX =
      "42544c4541524e32"
          + "00000000d721de5e"
          + "0000000000001388"
          + "3e7ad7f29abcaf48"
          + "3e8ad7f29abcaf48"
          + "418312d000000000"
          + "419312d000000000"
          + "4028000000000000"
          + "41cdcd6500000000";

  @TempDir private Path folder;
  private final BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();

  @Test
  void readsFreshStateAndIgnoresDamagedFile() throws IOException {
    Path path = folder.resolve("learned");
    UpgradeState file = new UpgradeState(path);
    assertNull(file.read(5000));
    file.write(STATE, 5000);
    assertEquals(STATE, file.read(9000));
    assertNull(file.read(60_000));
    file.write(new WarmStartState(Double.NaN, 0, 0, 0, 1, 1), 5000);
    assertNull(file.read(5000));
    file.write(STATE, 5000);
    byte[] intact = Files.readAllBytes(path);
    for (int i = 0; i < intact.length; i++) {
      Files.write(path, Arrays.copyOf(intact, i));
      assertNull(file.read(5000), "cut at " + i);
      byte[] changed = intact.clone();
      changed[i] ^= 1;
      Files.write(path, changed);
      assertNull(file.read(5000), "changed at " + i);
    }
  }

  /**
   * After an upgrade or a roll-back the file may have been written by another build, so its bytes
   * must not change.
   */
  @Test
  void keepsFileFormatOfEarlierBuilds() throws IOException {
    Path path = folder.resolve("learned");
    byte[] before = HexFormat.of().parseHex(STATE_AT_5000_MILLIS_HEX);
    Files.write(path, before);
    UpgradeState file = new UpgradeState(path);
    assertEquals(STATE, file.read(9000));
    Files.delete(path);
    file.write(STATE, 5000);
    assertArrayEquals(before, Files.readAllBytes(path));
  }

  @Test
  void detectsOtherProcessAndAssumesOneWithoutFile() throws IOException {
    Path path = folder.resolve("seats");
    ProcessSlots first = new ProcessSlots(path);
    assertFalse(first.isOtherTaken());
    ProcessSlots second = new ProcessSlots(path);
    assertTrue(first.isOtherTaken());
    assertTrue(second.isOtherTaken());
    first.close();
    assertFalse(second.isOtherTaken());
    try (ProcessSlots third = new ProcessSlots(path)) {
      assertTrue(second.isOtherTaken());
      assertTrue(third.isOtherTaken());
    }
    assertFalse(second.isOtherTaken());
    second.close();
    try (ProcessSlots none = new ProcessSlots(folder.resolve("missing").resolve("seats"))) {
      assertTrue(none.isOtherTaken());
    }
  }

  @Test
  void closingListenerLeavesSharedSocketAndQueueToOther() throws IOException, InterruptedException {
    try (ServerSocketChannel shared = ServerSocketChannel.open()) {
      shared.bind(new InetSocketAddress("127.0.0.1", 0));
      Listener before = Listener.sharing(shared, accepted::add);
      before.start();
      TestPeer.Connection.to(before.address()).close();
      accepted.take().close();
      before.close();
      TestPeer.Connection.to(before.address()).close();
      Listener after = Listener.sharing(shared, accepted::add);
      after.start();
      accepted.take().close();
      TestPeer.Connection.to(after.address()).close();
      accepted.take().close();
      after.close();
      assertTrue(shared.isOpen());
      assertEquals(0, accepted.size());
    }
  }
}
