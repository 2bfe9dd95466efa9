package beaconturn.rehearsal;

import beaconturn.ledger.Entry;
import beaconturn.ledger.Offence;
import beaconturn.ledger.Story;
import beaconturn.ledger.Verdict;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a rehearsal has shown.
 *
 * @param scenario what was played
 * @param start when the first second began, in nanoseconds of the account's clock
 * @param entries the whole account
 * @param verdicts rule by rule
 * @param classes what clients felt
 * @param kitCpu processor time of the kit during the play, in nanoseconds
 * @param routerCpu that of all routers, in nanoseconds
 * @param senderLate how late the 99th of a hundred requests was sent, in milliseconds
 * @param paused nanoseconds for which the machine kept the kit from running
 */
public record Report(Scenario scenario, long start, List<Entry> entries, List<Verdict> verdicts,
        List<Tally.Line> classes,
        long kitCpu,
        long routerCpu, double senderLate, long paused) {
    private static final double SECOND = 1e9;

    /** Whether every rule was kept. */
    public boolean held() {
        return verdicts.stream().allMatch(Verdict::held);
    }

    /** The tables, as text. */
    public String text() {
        StringBuilder out = new StringBuilder();
        out.append(String.format(Locale.ROOT, "%-16s %-7s %9s  %s%n", "rule", "", "checked",
            "first offence"));
        for (Verdict v : verdicts) {
            out.append(String.format(Locale.ROOT, "%-16s %-7s %9d  %s%n", v.rule(),
                v.held() ? "held" : "BROKEN",
                v.checked(), v.held() ? v.promise() : offence(v)));
        }
        for (Verdict v : verdicts) {
            for (Offence note : v.notes()) {
                out.append("noted, ").append(v.rule()).append(": ").append(line(note)).append('\n');
            }
        }
        out.append(String.format(Locale.ROOT, "%n%-14s %7s %7s %7s %7s %7s %7s %7s %7s %9s %9s %9s%n",
            "class",
            "wanted", "tries", "served", "refused", "failed", "no end", "no way", "in aim", "p50 ms",
                "p99 ms",
            "max ms"));
        for (Tally.Line c : classes) {
            out.append(String.format(Locale.ROOT, "%-14s %7d %7d %7d %7d %7d %7d %7d %7d %9.1f %9.1f %9.1f%n",
                c.type(), c.wanted(), c.tries(), c.served(), c.refused(), c.failed(), c.unanswered(),
                c.unreached(), c.inAim(), c.median(), c.p99(), c.most()));
        }
        out.append(String.format(Locale.ROOT, "%nseed %d, %.1f s played; processor time: kit %.2f s, "
            + "routers %.2f s; requests sent late by %.1f ms (p99); machine stood still for %.0f ms%n",
            scenario.seed(), scenario.length() / SECOND, kitCpu / SECOND, routerCpu / SECOND, senderLate,
            paused / 1e6));
        return out.toString();
    }

    private String offence(Verdict v) {
        int count = v.offences().size();
        return line(v.offences().get(0)) + (count == 1 ? "" : " (" + count + " in all)");
    }

    private String line(Offence one) {
        return String.format(Locale.ROOT, "%.3f s%s%s: %s", (one.at() - start) / SECOND,
            one.request().isEmpty() ? "" : ", request " + one.request(),
            one.server().isEmpty() ? "" : ", " + one.server(), one.what());
    }

    /** The same as JSON, with every offence. */
    public String json() {
        List<Json> rules = new ArrayList<>();
        for (Verdict v : verdicts) {
            rules.add(RouterConfigText.object("rule", v.rule(), "held", v.held(), "checked", v.checked(),
                "offences", new Json.Items(v.offences().stream().map(this::json).toList()),
                "notes", new Json.Items(v.notes().stream().map(this::json).toList())));
        }
        List<Json> rows = new ArrayList<>();
        for (Tally.Line c : classes) {
            rows.add(RouterConfigText.object("class", c.type(), "wanted", c.wanted(), "tries", c.tries(),
                "served", c.served(), "refused", c.refused(), "failed", c.failed(), "unanswered",
                c.unanswered(), "unreached", c.unreached(), "in_aim", c.inAim(), "p50_ms", c.median(),
                    "p99_ms",
                c.p99(), "max_ms", c.most()));
        }
        return JsonWriter.write(RouterConfigText.object("scenario", scenario.name(), "seed", scenario.seed(),
            "length_s", scenario.length() / SECOND, "held", held(), "rules", new Json.Items(rules), "classes",
            new Json.Items(rows), "kit_cpu_s", kitCpu / SECOND, "routers_cpu_s", routerCpu / SECOND,
            "sender_late_ms", senderLate, "paused_ms", paused / 1e6)) + "\n";
    }

    private Json json(Offence offence) {
        return RouterConfigText.object("at_s", (offence.at() - start) / SECOND, "request", offence.request(),
            "server", offence.server(), "what", offence.what(), "story", RouterConfigText.texts(
            offence.request().isEmpty() ? List.of() : Story.of(entries, offence.request(), start)));
    }
}
