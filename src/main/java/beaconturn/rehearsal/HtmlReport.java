package beaconturn.rehearsal;

import beaconturn.ledger.Absences;
import beaconturn.ledger.Entry;
import beaconturn.ledger.Verdict;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A report as one page without scripts or other files: the rules, the classes, and a picture of what was
 * served beside what was out, second by second.
 */
final class HtmlReport {
    private static final double SECOND = 1e9;
    private static final int WIDTH = 900;
    private static final int HEIGHT = 160;
    private static final int LEFT = 60;
    private static final int GAP = 50;
    private static final int ROW = 14;
    private static final String STYLE = "body{font:14px sans-serif;margin:2em;max-width:70em}"
        + "td,th{padding:2px 10px;text-align:left}.broken{color:#b00;font-weight:bold}"
        + "svg text{font:11px sans-serif}";
    private final Report report;
    private final int seconds;
    private final StringBuilder out = new StringBuilder();

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
        out.append("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
            .append(safe(s.name())).append("</title><style>").append(STYLE).append("</style><h1>")
            .append(safe(s.name())).append("</h1><p>").append(safe(s.about())).append("</p>");
        out.append(String.format(Locale.ROOT, "<p>%s; seed %d, %.0f s.</p>", report.held() ? "Every rule held"
            : "<span class=\"broken\">A rule was broken</span>", s.seed(), s.length() / SECOND));
        picture();
        rules();
        classes();
        return out.append("</html>\n").toString();
    }

    private double x(double second) {
        return LEFT + Math.max(0, Math.min(seconds, second)) * WIDTH / Math.max(1, seconds);
    }

    private double second(long at) {
        return (at - report.start()) / SECOND;
    }

    private void picture() {
        long end = report.start() + report.scenario().length();
        List<Absences.Gone> gone = Absences.of(report.scenario().terms(0), report.entries()).stream()
            .filter(g -> g.from() < end && g.to() > report.start()).toList();
        List<String> parts = gone.isEmpty() ? List.of() : report.scenario().parts().stream()
            .filter(p -> gone.stream().anyMatch(g -> g.part().equals(p))).toList();
        int rows = parts.size() * ROW;
        int top = HEIGHT + GAP;
        out.append(String.format(Locale.ROOT, "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\""
            + "served share and parts that were out, by second\">", LEFT + WIDTH + GAP, top + rows + GAP));
        served();
        text(LEFT, ROW, "served of what was wanted in each second, in %");
        for (int i = 0; i < parts.size(); i++) {
            text(4, top + (i + 1) * ROW - 3, parts.get(i));
        }
        for (Absences.Gone g : gone) {
            double from = x(second(g.from()));
            double to = x(second(Math.min(g.to(), end)));
            box(from, top + parts.indexOf(g.part()) * ROW + 2, Math.max(1, to - from), ROW - 4,
                g.planned() ? "#48a" : "#c63");
        }
        if (!parts.isEmpty()) {
            text(LEFT, top - 6, "out: blue by a step or an operator, orange by itself");
        }
        for (Entry entry : report.entries()) {
            String says = entry instanceof Entry.Ordered o ? o.what()
                : entry instanceof Entry.Budget b ? "budget " + b.mostOut() : "";
            if (!says.isEmpty() && second(entry.at()) >= 0) {
                box(x(second(entry.at())), ROW + 4, 1, top + rows - ROW, "#999");
                text(x(second(entry.at())) + 3, top + rows + ROW, says);
            }
        }
        for (int i = 0; i <= seconds; i += Math.max(1, seconds / 10)) {
            text(x(i), top + rows + 2 * ROW + 4, i + " s");
        }
        out.append("</svg>");
    }

    /** Of what clients first asked for in each second, the part that was served in the end. */
    private void served() {
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
            double share = wanted[i] == 0 ? 0 : served[i] / wanted[i];
            double high = share * (HEIGHT - 2 * ROW);
            box(x(i), HEIGHT - high, Math.max(1, x(i + 1) - x(i) - 1), high, share > 0.99 ? "#7b7" : "#db6");
        }
        text(LEFT - 34, 2 * ROW + 4, "100");
        text(LEFT - 34, HEIGHT, "0");
    }

    /** A request's first digits are its number; a try more has the same. */
    private static String wish(String id) {
        return id.substring(0, Math.min(8, id.length()));
    }

    private void box(double x, double y, double width, double height, String colour) {
        out.append(String.format(Locale.ROOT,
            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>", x, y, width,
            height, colour));
    }

    private void text(double x, double y, String words) {
        out.append(String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\">%s</text>", x, y, safe(words)));
    }

    private void rules() {
        out.append("<table><tr><th>rule<th>verdict<th>checked<th>what it says");
        for (Verdict v : report.verdicts()) {
            out.append(String.format(Locale.ROOT, "<tr%s><td>%s<td>%s<td>%d<td>%s",
                v.held() ? "" : " class=\"broken\"", safe(v.rule()), v.held() ? "held" : "BROKEN",
                v.checked(), safe(v.held() ? v.promise() : v.offences().get(0).what())));
        }
        out.append("</table>");
    }

    private void classes() {
        out.append("<table><tr><th>class<th>wanted<th>served<th>refused<th>failed<th>p99 ms");
        for (Tally.Line c : report.classes()) {
            out.append(String.format(Locale.ROOT, "<tr><td>%s<td>%d<td>%d<td>%d<td>%d<td>%.1f",
                safe(c.type()), c.wanted(), c.served(), c.refused(), c.failed(), c.p99()));
        }
        out.append("</table>");
    }

    private static String safe(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"",
            "&quot;");
    }
}
