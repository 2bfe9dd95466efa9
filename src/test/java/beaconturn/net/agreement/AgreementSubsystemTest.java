package beaconturn.net.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.net.RouterConfigReader;
import beaconturn.standin.net.StoreServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class AgreementSubsystemTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final AgreementTiming TIMING =
      new AgreementTiming(60 * SECOND_NANOS, 0.01, SECOND_NANOS / 2);

  private static AgreementSubsystem subsystem(InetSocketAddress store) throws Exception {
    return new AgreementSubsystem(
        new AgreementConfig(List.of(store), "/f", TIMING, null),
        RouterConfigReader.read(Path.of("examples", "config.json"), Map.of()));
  }

  /** A router that serves before its first read may act on an outdated configuration. */
  @Test
  void startupWaitsForFirstReadOfStore() throws Exception {
    try (StoreServer store =
        new StoreServer(0, 42, System::nanoTime, (at, revision, key, value) -> {})) {
      store.start();
      StoreClient client = new StoreClient(List.of(store.address()), 20 * SECOND_NANOS);
      new ConfigAdmin(new AgreementKeys("/f"), client).begin("first");
      client.close();
      AgreementSubsystem agreement = subsystem(store.address());
      assertEquals("strict ground", agreement.dueConfig().description());
      Thread thread = new Thread(agreement);
      thread.start();
      agreement.awaitFirstConfig();
      assertTrue(
          agreement.dueConfig().description().startsWith("its own configuration"),
          agreement.dueConfig().description());
      agreement.leave();
      thread.join();
    }
  }

  /** An unreachable store must not block the startup: one failed request is enough to continue. */
  @Test
  void startupContinuesIfStoreIsUnreachable() throws Exception {
    InetSocketAddress closedAddress = closedAddress();
    AgreementSubsystem agreement = subsystem(closedAddress);
    Thread thread = new Thread(agreement);
    thread.start();
    agreement.awaitFirstConfig();
    assertEquals("strict ground", agreement.dueConfig().description());
    agreement.leave();
    thread.join();
  }

  private static InetSocketAddress closedAddress() throws IOException {
    try (ServerSocket closed = new ServerSocket(0)) {
      return new InetSocketAddress("127.0.0.1", closed.getLocalPort());
    }
  }
}
