package beaconturn.net.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What outlives a process of the router. */
class HandFileTest {
    private static final Hand OUT = new Hand("s-1", true, 5000);
    private static final Hand BACK = new Hand("s-2", false, 6000);
    @TempDir
    private Path folder;

    private Path file() {
        return folder.resolve("hand");
    }

    private List<Hand> reread() {
        return new HandFile(file(), false).read();
    }

    @Test
    void theNextProcessFindsWhatWasSaidLast() {
        HandFile first = new HandFile(file(), false);
        first.put(OUT);
        first.put(BACK);
        assertEquals(List.of(OUT, BACK), reread());
        Hand again = new Hand("s-1", false, 7000);
        first.put(again);
        assertEquals(List.of(again, BACK), reread());
    }

    @Test
    void twoProcessesKeepEachOthersWords() {
        HandFile first = new HandFile(file(), true);
        HandFile second = new HandFile(file(), true);
        first.put(OUT);
        second.put(BACK);
        assertEquals(List.of(OUT, BACK), reread());
        assertEquals(List.of(BACK), first.changes(0));
        assertEquals(List.of(OUT), second.changes(0));
        assertEquals(List.of(), first.changes(1_000_000_000));
    }

    @Test
    void aDamagedFileCountsAsFarAsItIsSound() throws IOException {
        Files.writeString(file(), "beaconturn-hand 1\nout s-1 5000\nout s-3\nodd s-4 1\n"
            + "back s-2 6000\nout s-5 x");
        assertEquals(List.of(OUT, BACK), reread());
        for (String unsound : new String[] {"", "\n", "out s-1 5000\n", "x".repeat(300 * 1024)}) {
            Files.writeString(file(), unsound);
            assertEquals(List.of(), reread());
        }
    }

    @Test
    void aFolderThatCannotBeWrittenCostsOnlyTheKeeping() {
        folder = folder.resolve("missing");
        HandFile kept = new HandFile(file(), true);
        kept.put(OUT);
        assertEquals(List.of(OUT), kept.read());
        assertEquals(List.of(), reread());
    }
}
