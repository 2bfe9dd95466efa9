package beaconturn.net;

import beaconturn.core.Call;
import beaconturn.core.Settings;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.Slice;
import java.util.List;
import java.util.Map;
import java.util.LinkedHashMap;
import java.util.StringJoiner;

/** Turns commands of clients into requests: key, id and a list of names and values. */
final class RequestParser {
    private static final long MILLI = 1_000_000;
    private static final double LONGEST_WAIT = 3_600_000;
    private static final int KEY_DIGITS = 16;
    private final Settings settings;

    RequestParser(Settings settings) {
        this.settings = settings;
    }

    /** The parts that go on to a cache server: {@code head} is the command, the key and the id as read. */
    record Parts(Slice head, Map<String, String> attributes, Slice value) {
        String attributesWith(long waitMillis) {
            StringJoiner out = new StringJoiner(",");
            attributes.forEach((name, value) ->
                out.add(name + "=" + (name.equals("d") ? Long.toString(waitMillis) : value)));
            return out.toString();
        }
    }

    static boolean isRequest(Slice command) {
        return command.is("C.GET") || command.is("C.SET");
    }

    /** The request that a command makes; {@code readAt} is when its last byte was read. */
    ClientCall parse(List<RespValue> items, long readAt) throws ProtocolException {
        boolean write = text(items, 0).is("C.SET");
        if (items.size() != (write ? 5 : 4)) {
            throw new ProtocolException("wrong number of arguments");
        }
        Map<String, String> attributes = attributes(text(items, 3).toString());
        double wait = number(attributes, "d", -1);
        if (!(wait > 0 && wait <= LONGEST_WAIT)) {
            throw new ProtocolException("d is missing or out of range");
        }
        int requestClass = settings.classNames().indexOf(attributes.get("c"));
        if (requestClass < 0) {
            throw new ProtocolException("c names no class of the settings");
        }
        Slice first = items.get(0).frame();
        Slice last = items.get(2).frame();
        Slice head = new Slice(first.array(), first.from(), last.from() + last.length() - first.from());
        Slice value = write ? items.get(4).frame() : null;
        Call.Ask ask = new Call.Ask(requestClass, key(text(items, 1)), write,
            "1".equals(attributes.get("r")), 0, 0, number(attributes, "size", 0));
        return new ClientCall(ask, readAt + (long) (wait * MILLI), new Parts(head, attributes, value));
    }

    private static Slice text(List<RespValue> items, int index) throws ProtocolException {
        if (items.get(index) instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
            return bulk.bytes();
        }
        throw new ProtocolException("command with an argument that is no string");
    }

    private static Map<String, String> attributes(String text) throws ProtocolException {
        Map<String, String> found = new LinkedHashMap<>();
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw new ProtocolException("attribute without a value");
            }
            found.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return found;
    }

    private static double number(Map<String, String> attributes, String name, double fallback)
            throws ProtocolException {
        try {
            String value = attributes.get(name);
            return value == null ? fallback : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ProtocolException(name + " is not a number");
        }
    }

    /** Keys are 16 hexadecimal digits; any other is hashed, alike at every router. */
    private static long key(Slice key) {
        long value = 0;
        boolean hex = key.length() == KEY_DIGITS;
        for (int i = 0; hex && i < key.length(); i++) {
            int digit = Character.digit(key.at(i), 16);
            hex = digit >= 0;
            value = value << 4 | digit;
        }
        return hex ? value : NameHash.of(key);
    }
}
