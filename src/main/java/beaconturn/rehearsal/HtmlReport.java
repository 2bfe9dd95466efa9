package beaconturn.rehearsal;

import beaconturn.ledger.Absences;
import beaconturn.ledger.Entry;
import beaconturn.ledger.Verdict;
import beaconturn.report.Chart;
import beaconturn.report.Page;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A report as a page: the rules, the classes, and a picture of what was served beside what was out, second by
 * second.
 */
final class HtmlReport {
    private static final double SECOND = 1e9;
    private final Report report;
    private final int seconds;

    private HtmlReport(Report report) {
        this.report = report;
        this.seconds = (int) Math.ceil(report.scenario().length() / SECOND);
    }

    /** The page. */
    static String of(Report report) {
        return new HtmlReport(report).page();
    }

    private String page() {
        Scenario s = report.scenario();
        Page page = new Page(s.name()).text(s.about());
        String play = String.format(Locale.ROOT, "seed %d, %.0f s.", s.seed(), s.length() / SECOND);
        if (report.held()) {
            page.text("Every rule held; " + play);
        } else {
            page.warning("A rule was broken; " + play);
        }
        page.chart(picture());
        rules(page);
        classes(page);
        return page.html();
    }

    private double second(long at) {
        return (at - report.start()) / SECOND;
    }

    private Chart picture() {
        Chart chart = new Chart(seconds, "served of what was wanted in each second, in %",
            "out: blue by a step or an operator, orange by itself");
        served(chart);
        long end = report.start() + report.scenario().length();
        List<Absences.Gone> gone = Absences.of(report.scenario().terms(0), report.entries()).stream()
            .filter(g -> g.from() < end && g.to() > report.start()).toList();
        List<String> parts = gone.isEmpty() ? List.of() : report.scenario().parts();
        for (String part : parts) {
            List<Chart.Span> spans = gone.stream().filter(g -> g.part().equals(part)).map(g ->
                new Chart.Span(second(g.from()), second(Math.min(g.to(), end)), g.planned())).toList();
            if (!spans.isEmpty()) {
                chart.row(new Chart.Row(part, spans));
            }
        }
        for (Entry entry : report.entries()) {
            String says = entry instanceof Entry.Ordered o ? o.what()
                : entry instanceof Entry.Budget b ? "budget " + b.mostOut() : "";
            if (!says.isEmpty() && second(entry.at()) >= 0) {
                chart.mark(second(entry.at()), says);
            }
        }
        return chart;
    }

    /** Of what clients first asked for in each second, the part that was served in the end. */
    private void served(Chart chart) {
        Map<String, Integer> askedIn = new HashMap<>();
        double[] wanted = new double[seconds + 1];
        double[] served = new double[seconds + 1];
        for (Entry entry : report.entries()) {
            if (entry instanceof Entry.Asked asked && askedIn.get(wish(asked.id())) == null) {
                int in = (int) Math.max(0, Math.min(seconds, second(asked.at())));
                askedIn.put(wish(asked.id()), in);
                wanted[in]++;
            } else if (entry instanceof Entry.Answered answered && answered.kind() == Entry.Kind.SERVED
                && askedIn.getOrDefault(wish(answered.id()), -1) >= 0) {
                served[askedIn.put(wish(answered.id()), -1)]++;
            }
        }
        for (int i = 0; i < seconds; i++) {
            chart.share(i, i + 1, wanted[i] == 0 ? 0 : served[i] / wanted[i]);
        }
    }

    /** A request's first digits are its number; a try more has the same. */
    private static String wish(String id) {
        return id.substring(0, Math.min(8, id.length()));
    }

    private void rules(Page page) {
        page.table("rule", "verdict", "checked", "what it says");
        for (Verdict v : report.verdicts()) {
            page.row(!v.held(), List.of(v.rule(), v.held() ? "held" : "BROKEN", Long.toString(v.checked()),
                v.held() ? v.promise() : v.offences().get(0).what()));
        }
        page.end();
    }

    private void classes(Page page) {
        page.table("class", "wanted", "served", "refused", "failed", "p99 ms");
        for (Tally.Line c : report.classes()) {
            page.row(false, List.of(c.type(), Long.toString(c.wanted()), Long.toString(c.served()),
                Long.toString(c.refused()), Long.toString(c.failed()),
                String.format(Locale.ROOT, "%.1f", c.p99())));
        }
        page.end();
    }
}
