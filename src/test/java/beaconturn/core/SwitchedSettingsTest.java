package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.decision.Routing;
import beaconturn.protocol.Slice;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The first seconds after other settings are in force, with the real module on a clock of the test. */
class SwitchedSettingsTest {
    private static final long MILLI = 1_000_000;
    private long now = 100_000 * MILLI;
    private final List<Attempt> sent = new ArrayList<>();
    private int watches;
    private final ModuleHost host = new ModuleHost(Samples.read().routing(), 5, () -> now, new Sent(),
        new Watched());

    private void list(Routing.ListKind kind, Routing.Health health, long... servers) {
        List<ListNews.Member> members = new ArrayList<>();
        LongStream.of(servers).forEach(id -> members.add(new ListNews.Member(
            new Routing.ServerEntry(id, 0, 0, 0, health, 1, 0), "c" + id, "127.0.0.1:" + id)));
        host.handle(new Message.News(new ListNews(1, kind, members)));
    }

    private FakeCall arrive() {
        FakeCall call = new FakeCall(now + 2000 * MILLI);
        host.handle(new Message.Arrived(call));
        return call;
    }

    private void end(Attempt a, Routing.Ending ending) {
        host.handle(new Message.Ended(a, new Outcome(ending, now, Routing.Note.HIT, new float[0],
            ending == Routing.Ending.OK ? Slice.of("x") : null)));
    }

    private Attempt last() {
        return sent.get(sent.size() - 1);
    }

    private void switchTo(String path, String value) throws SettingsException {
        Map<String, String> values = Samples.settings();
        values.put(path, value);
        host.handle(new Message.Switched(SettingsReader.read(values).routing(), 6));
    }

    @Test
    void whatWasTakenBeforeIsAnsweredAndWhatComesAfterIsServedWithoutANewList() throws SettingsException {
        list(Routing.ListKind.FULL, Routing.Health.READY, 1, 2, 3);
        FakeCall before = arrive();
        Attempt first = last();
        switchTo("permissions.second_copies", "false");
        FakeCall after = arrive();
        assertEquals(2, sent.size());
        end(last(), Routing.Ending.OK);
        end(first, Routing.Ending.OK);
        assertEquals(1, watches);
        assertEquals(List.of(1, 1), List.of(before.answers.size(), after.answers.size()));
    }

    @Test
    void aCacheThatDrainsAfterTheSwitchGetsNothingFromEitherModule() throws SettingsException {
        list(Routing.ListKind.FULL, Routing.Health.READY, 1, 2);
        arrive();
        Attempt first = last();
        switchTo("permissions.second_copies", "false");
        list(Routing.ListKind.DELTA, Routing.Health.DRAINING, first.server());
        end(first, Routing.Ending.FULL);
        for (int i = 0; i < 20; i++) {
            now += 10 * MILLI;
            arrive();
        }
        assertEquals(1, sent.stream().filter(a -> a.server() == first.server()).count());
    }

    @Test
    void aSickCacheIsNotTrustedAnewBecauseSettingsChanged() throws SettingsException {
        list(Routing.ListKind.FULL, Routing.Health.READY, 1, 2, 3, 4);
        for (int i = 0; i < 80; i++) {
            now += 20 * MILLI;
            arrive();
            for (int k = sent.size() - 1; last().server() == 1 && k < sent.size(); k++) {
                end(last(), Routing.Ending.ERROR);
            }
            end(last(), Routing.Ending.OK);
        }
        switchTo("permissions.second_copies", "false");
        int until = sent.size();
        for (int i = 0; i < 20; i++) {
            arrive();
            end(last(), Routing.Ending.OK);
        }
        long toSick = sent.stream().skip(until).filter(a -> a.server() == 1).count();
        assertTrue(toSick <= 1, "sent to the sick cache: " + toSick);
        assertNotEquals(0, sent.size() - until);
    }

    private final class Sent implements Fleet {
        @Override
        public boolean send(Attempt attempt) {
            return sent.add(attempt);
        }

        @Override
        public void abort(Attempt attempt) {
            assertTrue(sent.contains(attempt));
        }

        @Override
        public void closeIdle(long server) {
            throw new AssertionError("not asked for here");
        }

        @Override
        public void follow(ListNews news) {
            assertTrue(!news.members().isEmpty());
        }
    }

    private final class Watched implements ListSource {
        @Override
        public void watch(boolean on) {
            watches++;
        }

        @Override
        public void fetch() {
            throw new AssertionError("not asked for here");
        }
    }
}
