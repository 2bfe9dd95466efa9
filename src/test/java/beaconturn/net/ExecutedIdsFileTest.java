package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.net.client.ExecutedRequestIds;
import beaconturn.net.client.PendingRequestIds;
import beaconturn.net.client.RequestIdsProbe;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Ids of executed requests in a file that two processes of a router map. */
class ExecutedIdsFileTest {
  @TempDir private Path folder;

  @Test
  void idOfOneProcessIsKnownToTheOther() {
    Path path = folder.resolve("ids");
    RequestIdsProbe before = probe(new ExecutedIdsFile(path).open());
    RequestIdsProbe after = probe(new ExecutedIdsFile(path).open());
    before.execute("a");
    assertEquals(false, after.mayExecute("a"));
    assertEquals(true, after.mayExecute("b"));
    assertEquals(false, probe(new ExecutedIdsFile(path).open()).mayExecute("a"));
  }

  @Test
  void fallsBackToIdsOfThisProcessWithoutFile() {
    RequestIdsProbe alone = probe(new ExecutedIdsFile(folder.resolve("no").resolve("ids")).open());
    alone.execute("a");
    assertEquals(false, alone.mayExecute("a"));
  }

  @Test
  void completesFileThatIsTooShort() throws Exception {
    Path path = folder.resolve("ids");
    Files.write(path, new byte[100]);
    probe(new ExecutedIdsFile(path).open()).execute("a");
    assertEquals(ExecutedRequestIds.MEMORY_BYTES, Files.size(path));
  }

  private static RequestIdsProbe probe(ExecutedRequestIds executed) {
    return new RequestIdsProbe(new PendingRequestIds(executed));
  }
}
