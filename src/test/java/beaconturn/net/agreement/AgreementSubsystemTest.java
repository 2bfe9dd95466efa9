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
  private static final long SECOND = 1_000_000_000;
  private static final AgreementTiming TIMING = new AgreementTiming(60 * SECOND, 0.01, SECOND / 2);

  private static AgreementSubsystem at(InetSocketAddress store) throws Exception {
    return new AgreementSubsystem(
        new AgreementConfig(List.of(store), "/f", TIMING, null),
        RouterConfigReader.read(Path.of("examples", "config.json"), Map.of()));
  }

  /** Whoever serves before it has asked acts on what may be over. */
  @Test
  void aStartWaitsUntilTheStoreHasToldWhatIsInForce() throws Exception {
    try (StoreServer front =
        new StoreServer(0, 42, System::nanoTime, (at, revision, key, value) -> {})) {
      front.start();
      StoreClient client = new StoreClient(List.of(front.address()), 20 * SECOND);
      new ConfigAdmin(new AgreementKeys("/f"), client).begin("first");
      client.close();
      AgreementSubsystem agreed = at(front.address());
      assertEquals("strict ground", agreed.dueConfig().description());
      Thread thread = new Thread(agreed);
      thread.start();
      agreed.awaitFirstConfig();
      assertTrue(
          agreed.dueConfig().description().startsWith("its own configuration"),
          agreed.dueConfig().description());
      agreed.leave();
      thread.join();
    }
  }

  /** A store that is not there holds no start up: the first call that fails is enough. */
  @Test
  void aStartGoesOnWhereNoStoreAnswers() throws Exception {
    InetSocketAddress nobody = nobody();
    AgreementSubsystem agreed = at(nobody);
    Thread thread = new Thread(agreed);
    thread.start();
    agreed.awaitFirstConfig();
    assertEquals("strict ground", agreed.dueConfig().description());
    agreed.leave();
    thread.join();
  }

  private static InetSocketAddress nobody() throws IOException {
    try (ServerSocket closed = new ServerSocket(0)) {
      return new InetSocketAddress("127.0.0.1", closed.getLocalPort());
    }
  }
}
