package beaconturn.net;

import beaconturn.core.ListNews;
import beaconturn.core.Settings;
import beaconturn.core.SettingsException;
import beaconturn.core.SettingsReader;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What one real router is told before it starts. */
public record RouterConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        int sockets, int memoryMb, ListNews known, Settings settings) {
    private static final int FEWEST_SOCKETS = 64;
    private static final int USUAL_SOCKETS = 1024;
    private static final int USUAL_MEMORY = 192;
    private static final int HEX = 16;

    /** Where a configuration can be read again and again. */
    public interface Source {
        /** The configuration as it is now. */
        RouterConfig read() throws ConfigException;
    }

    /** Reads the file; the variables PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY overrule it. */
    public static RouterConfig read(Path file, Map<String, String> variables) throws ConfigException {
        try {
            byte[] bytes = Files.readAllBytes(file);
            return of(JsonReader.read(new Slice(bytes, 0, bytes.length)), variables);
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        } catch (ProtocolException | SettingsException | IllegalArgumentException e) {
            throw new ConfigException(file + ": " + e.getMessage());
        }
    }

    private static RouterConfig of(Json json, Map<String, String> variables)
            throws ProtocolException, SettingsException {
        Settings settings = SettingsReader.read(flat(json.get("settings")));
        int sockets = limit(json, "sockets", USUAL_SOCKETS);
        if (sockets < FEWEST_SOCKETS) {
            throw new IllegalArgumentException("limits.sockets: at least " + FEWEST_SOCKETS + " are needed");
        }
        return new RouterConfig(
            variables.getOrDefault("PROXY_NAME", json.get("name").word("router")),
            address("listen", variables.getOrDefault("PROXY_LISTEN", json.get("listen").word(""))),
            address("discovery", variables.getOrDefault("PROXY_DISCOVERY", json.get("discovery").word(""))),
            seed(json.get("seed").word("0")), sockets, limit(json, "memory_mb", USUAL_MEMORY),
            new ListReader(settings).known(json.get("known")), settings);
    }

    private static int limit(Json json, String name, int usual) {
        String digits = json.get("limits").get(name).word(Integer.toString(usual));
        if (!digits.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException("limits." + name + ": not a whole number: '" + digits + "'");
        }
        return Integer.parseInt(digits);
    }

    private static InetSocketAddress address(String name, String text) {
        try {
            return Sockets.address(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(name + ": " + e.getMessage());
        }
    }

    private static long seed(String digits) {
        try {
            return Long.parseUnsignedLong(digits, HEX);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed: not a hexadecimal number: '" + digits + "'");
        }
    }

    /** Nested values as paths: members by name, items by number, plain lists joined by commas. */
    private static Map<String, String> flat(Json settings) {
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        return values;
    }

    private static void flatten(String path, Json json, Map<String, String> into) {
        String below = path.isEmpty() ? "" : path + ".";
        if (json instanceof Json.Members members) {
            members.values().forEach((name, value) -> flatten(below + name, value, into));
        } else if (json instanceof Json.Items items) {
            List<Json> all = items.values();
            boolean plain = all.stream().noneMatch(i -> i instanceof Json.Members || i instanceof Json.Items);
            if (plain && !all.isEmpty()) {
                into.put(path, String.join(",", all.stream().map(i -> i.word("")).toList()));
            }
            into.put(below + "count", Integer.toString(all.size()));
            for (int i = 0; i < all.size(); i++) {
                flatten(below + i, all.get(i), into);
            }
        } else if (json.word(null) != null) {
            into.put(path, json.word(null));
        }
    }
}
