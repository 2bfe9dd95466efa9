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

/** The client before the store's stand-in, over loopback. */
@Timeout(60)
class StoreClientTest {
  private static final long SECOND = 1_000_000_000;
  private StoreServer front;
  private StoreClient client;
  @TempDir private Path folder;

  @BeforeEach
  void open() throws IOException {
    front = new StoreServer(0, 42, System::nanoTime, (at, revision, key, value) -> {});
    front.start();
    client = new StoreClient(List.of(front.address()), 20 * SECOND);
  }

  @AfterEach
  void close() {
    client.close();
    front.close();
  }

  private StoreResponse.Success given(StoreRequest call) {
    return assertInstanceOf(
        StoreResponse.Success.class, client.ask(call), () -> "no answer to " + call);
  }

  private static StoreRequest.Transaction put(
      String key, String value, long lease, StoreRequest.Condition... conditions) {
    return new StoreRequest.Transaction(
        List.of(conditions), List.of(new StoreRequest.Change.Put(key, value, lease)));
  }

  @Test
  void whatIsPutIsReadWithItsRevisions() {
    assertTrue(given(put("/f/a/x", "1 \u00e9", 0)).conditionsHeld());
    assertTrue(given(put("/f/a/x", "2 \u00e9", 0)).conditionsHeld());
    assertTrue(given(put("/f/b/y", "3", 0)).conditionsHeld());
    StoreResponse.Success read = given(new StoreRequest.Read("/f/a/"));
    assertEquals(List.of(new StoreResponse.Entry("/f/a/x", "2 \u00e9", 2, 3, 0)), read.entries());
    assertEquals(4, read.storeRevision());
    assertEquals("42", read.clusterId());
  }

  @Test
  void aSwapHoldsOnlyWhereAllItsConditionsDo() {
    assertTrue(
        given(put("/f/x", "1", 0, new StoreRequest.Condition.Unchanged("/f/x", 0)))
            .conditionsHeld());
    assertFalse(
        given(put("/f/x", "2", 0, new StoreRequest.Condition.Unchanged("/f/x", 0)))
            .conditionsHeld());
    assertTrue(
        given(put("/f/x", "2", 0, new StoreRequest.Condition.Unchanged("/f/x", 2)))
            .conditionsHeld());
    assertTrue(
        given(put("/f/z", "1", 0, new StoreRequest.Condition.Exists("/f/x"))).conditionsHeld());
    assertFalse(
        given(put("/f/z", "2", 0, new StoreRequest.Condition.Exists("/f/y"))).conditionsHeld());
    assertTrue(
        given(put("/g", "1", 0, new StoreRequest.Condition.NoneModifiedAfter("/f/", 4)))
            .conditionsHeld());
    assertFalse(
        given(put("/g", "2", 0, new StoreRequest.Condition.NoneModifiedAfter("/f/", 3)))
            .conditionsHeld());
    assertTrue(
        given(put("/g", "2", 0, new StoreRequest.Condition.NoneModifiedAfter("/h/", 1)))
            .conditionsHeld());
  }

  @Test
  void aLeaseTakesItsKeysWithIt() {
    long lease = given(new StoreRequest.Grant(30)).leaseId();
    assertTrue(given(put("/f/x", "", lease)).conditionsHeld());
    assertEquals(30, given(new StoreRequest.KeepAlive(lease)).leaseTtlSeconds());
    given(new StoreRequest.Revoke(lease));
    assertEquals(List.of(), given(new StoreRequest.Read("/f/")).entries());
    assertEquals(0, given(new StoreRequest.KeepAlive(lease)).leaseTtlSeconds());
    assertInstanceOf(StoreResponse.RequestFailed.class, client.ask(put("/f/x", "", lease)));
  }

  @Test
  void anAnswerThatIsLostIsAFailureAndTheChangeHasComeAbout() {
    front.run("lose 1");
    assertInstanceOf(StoreResponse.RequestFailed.class, client.ask(put("/f/x", "1", 0)));
    assertEquals(1, given(new StoreRequest.Read("/f/")).entries().size());
  }

  @Test
  void aSlowStoreIsNotWaitedForAndAnotherMemberIsAskedNext() throws IOException {
    front.run("slow 30000");
    try (StoreServer other =
        new StoreServer(0, 42, System::nanoTime, (at, revision, key, value) -> {})) {
      other.start();
      List<InetSocketAddress> members = new ArrayList<>(List.of(front.address(), other.address()));
      StoreClient two = new StoreClient(members, SECOND / 5);
      assertEquals(
          new StoreResponse.RequestFailed("no answer in time"),
          two.ask(new StoreRequest.Read("/f/")));
      assertInstanceOf(StoreResponse.Success.class, two.ask(new StoreRequest.Read("/f/")));
      two.close();
    }
  }

  @Test
  void aStoreThatIsDownFailsAndComesBackWithWhatItHeld() {
    given(put("/f/x", "1", 0));
    front.run("down");
    assertInstanceOf(StoreResponse.RequestFailed.class, client.ask(new StoreRequest.Read("/f/")));
    front.run("up");
    assertEquals(1, given(new StoreRequest.Read("/f/")).entries().size());
    front.run("empty");
    assertEquals("43", given(new StoreRequest.Read("/f/")).clusterId());
  }

  @Test
  void whatIsKeptIsReadAgainAndADamagedFileCountsAsNone() throws IOException {
    List<String> said = new ArrayList<>();
    ConfigVersion acting = ConfigVersion.of(3, ConfigContent.UNSPECIFIED, "a", "b", 5);
    PersistedConfig kept =
        new PersistedConfig(
            "id",
            "42",
            17,
            true,
            acting,
            ConfigVersion.of(4, ConfigContent.UNSPECIFIED, "a", "c", 6));
    assertTrue(new PersistedConfigFile(folder, "r/1", said::add).write(kept));
    assertEquals(kept, new PersistedConfigFile(folder, "r/1", said::add).read());
    Path file = folder.resolve("beaconturn-r_1.agreed");
    Files.writeString(file, Files.readString(file).replace("\\\"number\\\":3", "\\\"number\\\":2"));
    assertEquals(PersistedConfig.EMPTY, new PersistedConfigFile(folder, "r/1", said::add).read());
    assertTrue(said.get(0).contains("is not followed: version 2 has digest"), said.toString());
    assertFalse(new PersistedConfigFile(folder.resolve("gone"), "r1", said::add).write(kept));
  }
}
