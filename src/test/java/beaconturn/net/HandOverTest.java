package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.decision.Learned;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What two processes of one router know of each other in an upgrade. */
class HandOverTest {
    private static final Learned LEARNED = new Learned(1e-7, 2e-7, 4e7, 8e7, 12, 1e9);
    @TempDir
    private Path folder;

    @Test
    void whatIsLeftIsReadWholeAndOnlyWhileItIsFresh() {
        HandOver file = new HandOver(folder.resolve("learned"));
        assertNull(file.read(5000));
        file.write(LEARNED, 5000);
        assertEquals(LEARNED, file.read(9000));
        assertNull(file.read(60_000));
        file.write(new Learned(Double.NaN, 0, 0, 0, 1, 1), 5000);
        assertNull(file.read(5000));
    }

    @Test
    void aFileThatIsCutOrChangedAnywhereIsNotFollowed() throws IOException {
        Path path = folder.resolve("learned");
        HandOver file = new HandOver(path);
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
    void eachOfTwoProcessesSeesTheOtherAsLongAsItRuns() throws IOException {
        Path path = folder.resolve("seats");
        try (Seats second = seatsBesideOneThatEnds(path)) {
            assertFalse(second.beside());
            try (Seats third = new Seats(path)) {
                assertTrue(second.beside());
                assertTrue(third.beside());
            }
            assertFalse(second.beside());
        }
    }

    private static Seats seatsBesideOneThatEnds(Path path) throws IOException {
        try (Seats first = new Seats(path)) {
            assertFalse(first.beside());
            Seats second = new Seats(path);
            assertTrue(first.beside());
            assertTrue(second.beside());
            return second;
        }
    }

    @Test
    void withoutAFileARouterNeverCountsAsAlone() throws IOException {
        try (Seats seats = new Seats(folder.resolve("missing").resolve("seats"))) {
            assertTrue(seats.beside());
        }
    }
}
