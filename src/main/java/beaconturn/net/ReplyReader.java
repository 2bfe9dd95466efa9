package beaconturn.net;

import beaconturn.core.Outcome;
import beaconturn.decision.Routing;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.Slice;
import java.util.List;
import java.util.logging.Logger;

/** Turns what a cache server answers into an outcome. */
final class ReplyReader {
    private static final Logger LOG = Logger.getLogger(ReplyReader.class.getName());
    private final List<String> reportNames;
    private final boolean aside;

    ReplyReader(Routing.Settings settings) {
        this.reportNames = settings.reportNames();
        this.aside = settings.origin().aside();
    }

    Outcome read(RespValue value, long now) {
        if (value instanceof RespValue.Array array && array.items() != null && !array.items().isEmpty()) {
            return served(array.items(), now);
        }
        if (value instanceof RespValue.Failure failure && firstWord(failure.text()).equals("BUSY")) {
            return Outcome.of(Routing.Ending.FULL, now);
        }
        if (!(value instanceof RespValue.Failure failure && failure.text().is("ERR failed"))) {
            LOG.warning("cache server answered unlike its protocol: " + value.frame().toString().trim());
        }
        return Outcome.of(Routing.Ending.ERROR, now);
    }

    private Outcome served(List<RespValue> items, long now) {
        Routing.Note note = items.size() > 1 ? note(items.get(1)) : Routing.Note.NONE;
        float[] report = items.size() > 2 ? report(items.get(2)) : Outcome.NO_REPORT;
        if (items.get(0) instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
            return new Outcome(Routing.Ending.OK, now, note, report, bulk.frame());
        }
        return new Outcome(aside ? Routing.Ending.MISS : Routing.Ending.ERROR, now, note, report, null);
    }

    private static Routing.Note note(RespValue value) {
        return switch (word(value)) {
            case "hit" -> Routing.Note.HIT;
            case "miss" -> Routing.Note.MISS;
            case "pending" -> Routing.Note.MISS_FETCHING;
            default -> Routing.Note.NONE;
        };
    }

    /** Name and value pairs, in the order of the settings; a report that lacks one is none. */
    private float[] report(RespValue value) {
        String text = word(value);
        if (text.isEmpty() || reportNames.isEmpty()) {
            return Outcome.NO_REPORT;
        }
        float[] figures = new float[reportNames.size()];
        int found = 0;
        for (String pair : text.split("[,; ]+")) {
            int equals = pair.indexOf('=');
            int at = equals < 0 ? -1 : reportNames.indexOf(pair.substring(0, equals));
            if (at >= 0 && pair.substring(equals + 1).matches("-?[0-9]+(\\.[0-9]+)?([eE]-?[0-9]+)?")) {
                figures[at] = Float.parseFloat(pair.substring(equals + 1));
                found++;
            }
        }
        return found == figures.length ? figures : Outcome.NO_REPORT;
    }

    private static String word(RespValue value) {
        return value instanceof RespValue.Bulk bulk && bulk.bytes() != null ? bulk.bytes().toString() : "";
    }

    private static String firstWord(Slice text) {
        return text.toString().split(" ", 2)[0];
    }
}
