package beaconturn.net.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that operator overrides outlive a process and are shared between processes. */
class ServerOverrideFileTest {
  private static final ServerOverride EXCLUDED = new ServerOverride("s-1", true, 5000);
  private static final ServerOverride INCLUDED = new ServerOverride("s-2", false, 6000);

  /** As written by the first build with version 2 of the format. */
  private static final String FILE_TEXT = "beaconturn-hand 2\nout s-1 5000\nback s-2 6000\n";

  @TempDir private Path folder;

  private Path file() {
    return folder.resolve("hand");
  }

  /** Guards the format of the file, which other builds read after an upgrade or a rollback. */
  @Test
  void fileFormatIsUnchanged() throws IOException {
    Files.writeString(file(), FILE_TEXT);
    assertEquals(List.of(EXCLUDED, INCLUDED), reread());
    Files.delete(file());
    ServerOverrideFile written = new ServerOverrideFile(file(), false);
    written.put(EXCLUDED);
    written.put(INCLUDED);
    assertEquals(FILE_TEXT, Files.readString(file()));
  }

  private List<ServerOverride> reread() {
    return new ServerOverrideFile(file(), false).read();
  }

  @Test
  void nextProcessReadsLatestOverrides() {
    ServerOverrideFile first = new ServerOverrideFile(file(), false);
    first.put(EXCLUDED);
    first.put(INCLUDED);
    assertEquals(List.of(EXCLUDED, INCLUDED), reread());
    ServerOverride later = new ServerOverride("s-1", false, 7000);
    first.put(later);
    assertEquals(List.of(later, INCLUDED), reread());
  }

  @Test
  void overridesOfTwoProcessesAreMerged() {
    ServerOverrideFile first = new ServerOverrideFile(file(), true);
    ServerOverrideFile second = new ServerOverrideFile(file(), true);
    first.put(EXCLUDED);
    second.put(INCLUDED);
    assertEquals(List.of(EXCLUDED, INCLUDED), reread());
    assertEquals(List.of(INCLUDED), first.pollChanges(0));
    assertEquals(List.of(EXCLUDED), second.pollChanges(0));
    assertEquals(List.of(), first.pollChanges(1_000_000_000));
  }

  @Test
  void invalidLinesAreSkippedAndInvalidFilesIgnored() throws IOException {
    Files.writeString(
        file(),
        "beaconturn-hand 2\nout s-1 5000\nout s-3\nodd s-4 1\n" + "back s-2 6000\nout s-5 x");
    assertEquals(List.of(EXCLUDED, INCLUDED), reread());
    for (String invalid : new String[] {"", "\n", "out s-1 5000\n", "x".repeat(300 * 1024)}) {
      Files.writeString(file(), invalid);
      assertEquals(List.of(), reread());
    }
  }

  /** Version 1 has wall-clock times, which may be wrong: its overrides count as received now. */
  @Test
  void version1OverridesApplyWithCurrentTime() throws IOException {
    Files.writeString(file(), "beaconturn-hand 1\nout s-1 99999999999999\n");
    long before = MonotonicMillis.millis();
    ServerOverride read = reread().get(0);
    assertTrue(read.excluded());
    assertTrue(read.atMillis() >= before && read.atMillis() <= MonotonicMillis.millis());
  }

  @Test
  void overrideAppliesAlthoughFileCannotBeWritten() {
    folder = folder.resolve("missing");
    ServerOverrideFile unwritable = new ServerOverrideFile(file(), true);
    unwritable.put(EXCLUDED);
    assertEquals(List.of(EXCLUDED), unwritable.read());
    assertEquals(List.of(), reread());
  }
}
