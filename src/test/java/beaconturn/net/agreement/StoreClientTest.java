package beaconturn.net.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.ConfigVersion;
import beaconturn.agreement.PersistedConfig;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.standin.net.StoreServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the client against the store's stand-in over loopback. */
@Timeout(60)
class StoreClientTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private StoreServer store;
  private StoreClient client;
  @TempDir private Path folder;

  @BeforeEach
  void open() throws IOException {
    store = new StoreServer(0, 42, System::nanoTime, (at, revision, key, value) -> {});
    store.start();
    client = new StoreClient(List.of(store.address()), 20 * SECOND_NANOS);
  }

  @AfterEach
  void close() {
    client.close();
    store.close();
  }

  private StoreResponse.Success askSuccessfully(StoreRequest request) {
    return assertInstanceOf(
        StoreResponse.Success.class, client.ask(request), () -> "request failed: " + request);
  }

  private static StoreRequest.Transaction put(
      String key, String value, long leaseId, StoreRequest.Condition... conditions) {
    return new StoreRequest.Transaction(
        List.of(conditions), List.of(new StoreRequest.Change.Put(key, value, leaseId)));
  }

  @Test
  void readReturnsEntriesWithTheirRevisions() {
    assertTrue(askSuccessfully(put("/f/a/x", "1 \u00e9", 0)).conditionsHeld());
    assertTrue(askSuccessfully(put("/f/a/x", "2 \u00e9", 0)).conditionsHeld());
    assertTrue(askSuccessfully(put("/f/b/y", "3", 0)).conditionsHeld());
    StoreResponse.Success read = askSuccessfully(new StoreRequest.Read("/f/a/"));
    assertEquals(List.of(new StoreResponse.Entry("/f/a/x", "2 \u00e9", 2, 3, 0)), read.entries());
    assertEquals(4, read.storeRevision());
    assertEquals("42", read.clusterId());
  }

  @Test
  void transactionIsAppliedOnlyIfItsConditionsHold() {
    assertTrue(
        askSuccessfully(put("/f/x", "1", 0, new StoreRequest.Condition.Unchanged("/f/x", 0)))
            .conditionsHeld());
    assertFalse(
        askSuccessfully(put("/f/x", "2", 0, new StoreRequest.Condition.Unchanged("/f/x", 0)))
            .conditionsHeld());
    assertTrue(
        askSuccessfully(put("/f/x", "2", 0, new StoreRequest.Condition.Unchanged("/f/x", 2)))
            .conditionsHeld());
    assertTrue(
        askSuccessfully(put("/f/z", "1", 0, new StoreRequest.Condition.Exists("/f/x")))
            .conditionsHeld());
    assertFalse(
        askSuccessfully(put("/f/z", "2", 0, new StoreRequest.Condition.Exists("/f/y")))
            .conditionsHeld());
    assertTrue(
        askSuccessfully(put("/g", "1", 0, new StoreRequest.Condition.NoneModifiedAfter("/f/", 4)))
            .conditionsHeld());
    assertFalse(
        askSuccessfully(put("/g", "2", 0, new StoreRequest.Condition.NoneModifiedAfter("/f/", 3)))
            .conditionsHeld());
    assertTrue(
        askSuccessfully(put("/g", "2", 0, new StoreRequest.Condition.NoneModifiedAfter("/h/", 1)))
            .conditionsHeld());
  }

  @Test
  void revokedLeaseDeletesItsEntries() {
    long leaseId = askSuccessfully(new StoreRequest.Grant(30)).leaseId();
    assertTrue(askSuccessfully(put("/f/x", "", leaseId)).conditionsHeld());
    assertEquals(30, askSuccessfully(new StoreRequest.KeepAlive(leaseId)).leaseTtlSeconds());
    askSuccessfully(new StoreRequest.Revoke(leaseId));
    assertEquals(List.of(), askSuccessfully(new StoreRequest.Read("/f/")).entries());
    assertEquals(0, askSuccessfully(new StoreRequest.KeepAlive(leaseId)).leaseTtlSeconds());
    assertInstanceOf(StoreResponse.RequestFailed.class, client.ask(put("/f/x", "", leaseId)));
  }

  @Test
  void lostResponseIsReportedAsFailureAlthoughChangeIsApplied() {
    store.run("lose 1");
    assertInstanceOf(StoreResponse.RequestFailed.class, client.ask(put("/f/x", "1", 0)));
    assertEquals(1, askSuccessfully(new StoreRequest.Read("/f/")).entries().size());
  }

  @Test
  void clientFailsOverToNextMemberAfterTimeout() throws IOException {
    store.run("slow 30000");
    try (StoreServer other =
        new StoreServer(0, 42, System::nanoTime, (at, revision, key, value) -> {})) {
      other.start();
      List<InetSocketAddress> members = new ArrayList<>(List.of(store.address(), other.address()));
      StoreClient failoverClient = new StoreClient(members, SECOND_NANOS / 5);
      assertEquals(
          new StoreResponse.RequestFailed("no reply within 200 ms"),
          failoverClient.ask(new StoreRequest.Read("/f/")));
      assertInstanceOf(
          StoreResponse.Success.class, failoverClient.ask(new StoreRequest.Read("/f/")));
      failoverClient.close();
    }
  }

  @Test
  void requestsFailWhileStoreIsDownAndSucceedAfterRestart() {
    askSuccessfully(put("/f/x", "1", 0));
    store.run("down");
    assertInstanceOf(StoreResponse.RequestFailed.class, client.ask(new StoreRequest.Read("/f/")));
    store.run("up");
    assertEquals(1, askSuccessfully(new StoreRequest.Read("/f/")).entries().size());
    store.run("empty");
    assertEquals("43", askSuccessfully(new StoreRequest.Read("/f/")).clusterId());
  }

  @Test
  void persistedConfigIsReadBackAndCorruptFileIsIgnored() throws IOException {
    List<String> log = new ArrayList<>();
    ConfigVersion acting = ConfigVersion.of(3, ConfigContent.UNSPECIFIED, "a", "b", 5);
    PersistedConfig persisted =
        new PersistedConfig(
            "id",
            "42",
            17,
            true,
            acting,
            ConfigVersion.of(4, ConfigContent.UNSPECIFIED, "a", "c", 6));
    assertTrue(new PersistedConfigFile(folder, "r/1", log::add).write(persisted));
    assertEquals(persisted, new PersistedConfigFile(folder, "r/1", log::add).read());
    Path file = folder.resolve("beaconturn-r_1.agreed");
    Files.writeString(file, Files.readString(file).replace("\\\"number\\\":3", "\\\"number\\\":2"));
    assertEquals(PersistedConfig.EMPTY, new PersistedConfigFile(folder, "r/1", log::add).read());
    assertTrue(log.get(0).contains("beaconturn-r_1.agreed: version 2 has digest"), log.toString());
    assertFalse(new PersistedConfigFile(folder.resolve("gone"), "r1", log::add).write(persisted));
  }
}
