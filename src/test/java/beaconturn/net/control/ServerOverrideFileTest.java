package beaconturn.net.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What operators said of cache servers, kept over processes of a router. */
class ServerOverrideFileTest {
  private static final ServerOverride OUT = new ServerOverride("s-1", true, 5000);
  private static final ServerOverride BACK = new ServerOverride("s-2", false, 6000);

  /** As the first build with this form wrote it. */
  private static final String OUT_AND_BACK = "beaconturn-hand 2\nout s-1 5000\nback s-2 6000\n";

  @TempDir private Path folder;

  private Path file() {
    return folder.resolve("hand");
  }

  /**
   * The process of the build before leaves the file at an upgrade, and may find it again at a
   * roll-back: its text is the same in both.
   */
  @Test
  void aFileOfTheBuildBeforeIsReadAndWrittenByteForByte() throws IOException {
    Files.writeString(file(), OUT_AND_BACK);
    assertEquals(List.of(OUT, BACK), reread());
    Files.delete(file());
    ServerOverrideFile written = new ServerOverrideFile(file(), false);
    written.put(OUT);
    written.put(BACK);
    assertEquals(OUT_AND_BACK, Files.readString(file()));
  }

  private List<ServerOverride> reread() {
    return new ServerOverrideFile(file(), false).read();
  }

  @Test
  void theNextProcessFindsWhatWasSaidLast() {
    ServerOverrideFile first = new ServerOverrideFile(file(), false);
    first.put(OUT);
    first.put(BACK);
    assertEquals(List.of(OUT, BACK), reread());
    ServerOverride again = new ServerOverride("s-1", false, 7000);
    first.put(again);
    assertEquals(List.of(again, BACK), reread());
  }

  @Test
  void twoProcessesKeepEachOthersWords() {
    ServerOverrideFile first = new ServerOverrideFile(file(), true);
    ServerOverrideFile second = new ServerOverrideFile(file(), true);
    first.put(OUT);
    second.put(BACK);
    assertEquals(List.of(OUT, BACK), reread());
    assertEquals(List.of(BACK), first.changes(0));
    assertEquals(List.of(OUT), second.changes(0));
    assertEquals(List.of(), first.changes(1_000_000_000));
  }

  @Test
  void aDamagedFileCountsAsFarAsItIsSound() throws IOException {
    Files.writeString(
        file(),
        "beaconturn-hand 2\nout s-1 5000\nout s-3\nodd s-4 1\n" + "back s-2 6000\nout s-5 x");
    assertEquals(List.of(OUT, BACK), reread());
    for (String unsound : new String[] {"", "\n", "out s-1 5000\n", "x".repeat(300 * 1024)}) {
      Files.writeString(file(), unsound);
      assertEquals(List.of(), reread());
    }
  }

  /**
   * Its times were those of a wall clock, which may have been an hour off: what it says counts as
   * said now.
   */
  @Test
  void aFileOfTheEarlierFormHoldsAndItsTimesDoNot() throws IOException {
    Files.writeString(file(), "beaconturn-hand 1\nout s-1 99999999999999\n");
    long before = MonotonicMillis.millis();
    ServerOverride read = reread().get(0);
    assertTrue(read.excluded());
    assertTrue(read.atMillis() >= before && read.atMillis() <= MonotonicMillis.millis());
  }

  @Test
  void aFolderThatCannotBeWrittenCostsOnlyTheKeeping() {
    folder = folder.resolve("missing");
    ServerOverrideFile kept = new ServerOverrideFile(file(), true);
    kept.put(OUT);
    assertEquals(List.of(OUT), kept.read());
    assertEquals(List.of(), reread());
  }
}
