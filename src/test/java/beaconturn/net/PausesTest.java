package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.core.LogLines;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class PausesTest {
    private static final long MILLI = 1_000_000;

    @Test
    void aPauseIsToldOnceWithTheProcessorTimeThatWentByInIt() {
        Logger log = Logger.getLogger(Pauses.class.getName());
        LogLines told = LogLines.of(log);
        AtomicLong now = new AtomicLong();
        AtomicLong used = new AtomicLong(900 * MILLI);
        Pauses pauses = new Pauses(now::get, used::get);
        try {
            now.addAndGet(60 * MILLI);
            pauses.look();
            now.addAndGet(2500 * MILLI);
            used.addAndGet(7 * MILLI);
            pauses.look();
            now.addAndGet(60 * MILLI);
            pauses.look();
            assertEquals(List.of("stood still for 2500 ms, with 7 ms of processor time"), told.lines);
        } finally {
            log.removeHandler(told);
            log.setUseParentHandlers(true);
        }
    }
}
