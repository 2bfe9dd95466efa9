package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.core.ListNews;
import beaconturn.core.Message;
import beaconturn.core.Samples;
import beaconturn.core.Settings;
import beaconturn.core.SettingsException;
import beaconturn.core.SettingsReader;
import beaconturn.decision.Routing;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class ReloadsTest {
    private final BlockingQueue<RouterConfig> files = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> posted = new LinkedBlockingQueue<>();

    private static RouterConfig config(String path, String value) throws SettingsException {
        Map<String, String> values = Samples.settings();
        values.put(path, value);
        Settings settings = SettingsReader.read(values);
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        return new RouterConfig("r", nowhere, nowhere, 9, 256, 192,
            new ListNews(1, Routing.ListKind.CACHED, List.of()), settings);
    }

    private RouterConfig next() throws ConfigException {
        RouterConfig next = files.poll();
        if (next == null) {
            throw new ConfigException("nothing there");
        }
        return next;
    }

    /** Classes that the parser doesn't know must not reach the module; other settings do at once. */
    @Test
    void settingsThatLeaveTheWireAloneTakeForceAndOthersWait() throws Exception {
        RouterConfig first = config("zone", "0");
        RouterConfig last = config("permissions.second_copies", "false");
        Discovery discovery = new Discovery(first.discovery(), new ListReader(first.settings()), 1,
            posted::add);
        Reloads reloads = new Reloads(this::next, discovery, first, posted::add);
        reloads.start();
        files.add(config("classes.1.hard_limit", "900000000"));
        reloads.ask();
        files.add(last);
        while (posted.isEmpty()) {
            reloads.ask();
            Thread.onSpinWait();
        }
        assertEquals(new Message.Switched(last.settings().routing(), 9), posted.take());
        assertEquals(0, files.size());
    }
}
