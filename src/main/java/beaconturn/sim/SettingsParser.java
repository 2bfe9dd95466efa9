package beaconturn.sim;

import beaconturn.decision.Routing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the start-up settings: one path=value a line; unknown paths are skipped. */
final class SettingsParser {
    private static final long NEVER = Long.MAX_VALUE / 4;
    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    /** Returns the settings, or names the first one that is missing or unreadable. */
    static Routing.Settings parse(String text) throws WireException {
        return new SettingsParser(text).settings();
    }

    private Routing.Settings settings() throws WireException {
        String weights = word("weights", "none");
        return new Routing.Settings(
            (int) whole("index", 0), (int) Math.max(1, required("replicas_of_me")), (int) whole("zone", 0),
            word("discovery", "push").equals("ask"), weights.equals("nominal") || weights.equals("rough"),
            word("counted_by", "request").equals("work"), number("over_share_worth", 1),
            whole("tick", 0), classes(), tenants(), rules(), permissions(), origin(), reportNames());
    }

    private List<Routing.RequestClass> classes() throws WireException {
        List<Routing.RequestClass> classes = new ArrayList<>();
        long count = required("classes.count");
        for (int i = 0; i < count; i++) {
            String at = "classes." + i + ".";
            classes.add(new Routing.RequestClass(effect(at + "effect"), scope(at + "key_scope"),
                whole(at + "window", 0), required(at + "target"), required(at + "hard_limit"),
                number(at + "worth", 1), number(at + "late_worth", 0), flag(at + "stream", false)));
        }
        return List.copyOf(classes);
    }

    private List<Routing.Tenant> tenants() throws WireException {
        List<Routing.Tenant> tenants = new ArrayList<>();
        long count = whole("tenants.count", 0);
        for (int i = 0; i < count; i++) {
            String at = "tenants." + i + ".";
            tenants.add(new Routing.Tenant(number(at + "quota_per_s", 0), number(at + "share", 0)));
        }
        return List.copyOf(tenants);
    }

    private Routing.Rules rules() throws WireException {
        return new Routing.Rules(whole("rules.answer_slack", 0), whole("rules.ask_within", NEVER),
            number("rules.cold_share", 1), whole("rules.cold", 0), whole("rules.drain_grace", 0),
            number("rules.fall_multiple", 1), whole("rules.overload_for", NEVER));
    }

    private Routing.Permissions permissions() throws WireException {
        String at = "permissions.";
        return new Routing.Permissions(flag(at + "cancel", false), flag(at + "peers", false),
            flag(at + "probes", false), flag(at + "retry_after", false), flag(at + "second_copies", false),
            (int) whole(at + "most_tries", 1), whole(at + "max_retry_after", 0),
            (int) whole(at + "multiplex", 1), whole(at + "dial_timeout", 0));
    }

    private Routing.Origin origin() throws WireException {
        String at = "family_info.";
        return new Routing.Origin(word(at + "mode", "through").equals("aside"),
            (int) whole(at + "origin_kind", -1), flag(at + "ordered", false),
            whole(at + "origin_fall", 0), number(at + "origin_fall_multiple", 0));
    }

    private List<String> reportNames() {
        String names = word("load_report.names", "");
        return names.isEmpty() ? List.of() : List.of(names.split(","));
    }

    private Routing.Effect effect(String path) throws WireException {
        String word = word(path, "");
        return switch (word) {
            case "read_like" -> Routing.Effect.SAFE;
            case "idempotency_key" -> Routing.Effect.KEYED;
            case "non_idempotent" -> Routing.Effect.UNSAFE;
            default -> throw new WireException("setting " + path + ": missing or unreadable: '" + word + "'");
        };
    }

    private Routing.Scope scope(String path) throws WireException {
        String word = word(path, "all");
        return switch (word) {
            case "all" -> Routing.Scope.ALL;
            case "zone" -> Routing.Scope.ZONE;
            case "cell" -> Routing.Scope.CELL;
            default -> throw new WireException("setting " + path + ": unreadable: '" + word + "'");
        };
    }

    private String word(String path, String fallback) {
        return values.getOrDefault(path, fallback);
    }

    private boolean flag(String path, boolean fallback) {
        return Boolean.parseBoolean(word(path, Boolean.toString(fallback)));
    }

    private long required(String path) throws WireException {
        if (!values.containsKey(path)) {
            throw new WireException("setting " + path + ": missing");
        }
        return whole(path, 0);
    }

    private long whole(String path, long fallback) throws WireException {
        return (long) number(path, fallback);
    }

    private double number(String path, double fallback) throws WireException {
        String value = values.get(path);
        if (value == null) {
            return fallback;
        }
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new WireException("setting " + path + ": not a number: '" + value + "'");
        }
    }
}
