package beaconturn.rehearsal;

import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import beaconturn.history.UnavailabilityIndex;
import beaconturn.history.ZoneCrossings;
import beaconturn.report.HtmlPage;
import beaconturn.report.TimelineChart;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A report as a page: the rules, the classes, and a picture of what was served beside what was out,
 * second by second.
 */
final class HtmlReport {
  private static final double SECOND = 1e9;

  /** Thousandths of a place's keys that go elsewhere at all times. */
  private static final int TRIAL = 10;

  private final RehearsalReport report;
  private final int seconds;

  private HtmlReport(RehearsalReport report) {
    this.report = report;
    this.seconds = (int) Math.ceil(report.scenario().length() / SECOND);
  }

  /** The page. */
  static String of(RehearsalReport report) {
    return new HtmlReport(report).page();
  }

  private String page() {
    Scenario s = report.scenario();
    HtmlPage page = new HtmlPage(s.name()).text(s.about());
    String play = String.format(Locale.ROOT, "seed %d, %.0f s.", s.seed(), s.length() / SECOND);
    if (report.held()) {
      page.text("Every rule held; " + play);
    } else {
      page.warning("A rule was broken; " + play);
    }
    page.chart(picture());
    shares(page);
    rules(page);
    classes(page);
    return page.html();
  }

  private double second(long at) {
    return (at - report.start()) / SECOND;
  }

  private TimelineChart picture() {
    TimelineChart chart =
        new TimelineChart(
            seconds,
            "served of what was wanted in each second, in %",
            "out: blue by a step or an operator, orange by itself");
    served(chart);
    long end = report.start() + report.scenario().length();
    List<UnavailabilityIndex.Outage> gone =
        UnavailabilityIndex.of(report.scenario().terms(0), report.entries()).stream()
            .filter(g -> g.fromNanos() < end && g.toNanos() > report.start())
            .toList();
    List<String> parts = gone.isEmpty() ? List.of() : report.scenario().parts();
    for (String part : parts) {
      List<TimelineChart.Span> spans =
          gone.stream()
              .filter(g -> g.instanceId().equals(part))
              .map(
                  g ->
                      new TimelineChart.Span(
                          second(g.fromNanos()), second(Math.min(g.toNanos(), end)), g.planned()))
              .toList();
      if (!spans.isEmpty()) {
        chart.row(new TimelineChart.Row(part, spans));
      }
    }
    for (HistoryEvent entry : report.entries()) {
      String says =
          entry instanceof HistoryEvent.ReleaseCommanded o
              ? o.command()
              : entry instanceof HistoryEvent.DisruptionBudgetDefined b
                  ? "budget " + b.maxUnavailable()
                  : "";
      if (!says.isEmpty() && second(entry.atNanos()) >= 0) {
        chart.mark(second(entry.atNanos()), says);
      }
    }
    return chart;
  }

  /** Of what clients first asked for in each second, the part that was served in the end. */
  private void served(TimelineChart chart) {
    ServedBySecond served = new ServedBySecond(report.entries(), report.start(), seconds);
    for (int i = 0; i < seconds; i++) {
      chart.share(i, i + 1, served.servedShare(i));
    }
  }

  /** For each place what stayed near, second by second, beside what plans allot elsewhere. */
  private void shares(HtmlPage page) {
    ZoneCrossings crossings = report.crossings();
    if (crossings == null) {
      return;
    }
    List<HistoryEvent.ZonePlanInForce> plans = report.plans();
    crossings
        .localShares()
        .forEach(
            (home, parts) -> {
              TimelineChart chart =
                  new TimelineChart(
                      seconds,
                      home + ": first sends that stayed there in each second, in %",
                      "to which places plans allot more than a trial of its keys");
              parts.forEach(
                  (second, part) -> {
                    double at = second(second * (long) SECOND);
                    chart.share(Math.max(0, at), Math.max(0, at + 1), part);
                  });
              for (String other : crossings.localShares().keySet()) {
                List<TimelineChart.Span> spans = new ArrayList<>();
                for (int i = 0; i < plans.size(); i++) {
                  if (!other.equals(home)
                      && plans.get(i).weights().getOrDefault(home, Map.of()).getOrDefault(other, 0)
                          > TRIAL) {
                    spans.add(
                        new TimelineChart.Span(
                            second(plans.get(i).atNanos()),
                            i + 1 < plans.size() ? second(plans.get(i + 1).atNanos()) : seconds,
                            true));
                  }
                }
                if (!spans.isEmpty()) {
                  chart.row(new TimelineChart.Row(other, spans));
                }
              }
              plans.forEach(p -> chart.mark(second(p.atNanos()), Long.toString(p.number())));
              page.chart(chart);
            });
  }

  private void rules(HtmlPage page) {
    page.table("rule", "verdict", "checked", "what it says");
    for (InvariantResult v : report.verdicts()) {
      page.row(
          !v.held(),
          List.of(
              v.invariant(),
              v.held() ? "held" : "BROKEN",
              Long.toString(v.checked()),
              v.held() ? v.promise() : v.violations().get(0).description()));
    }
    page.end();
  }

  private void classes(HtmlPage page) {
    page.table("class", "wanted", "served", "refused", "failed", "p99 ms");
    for (ClientStatistics.ClassSummary c : report.classes()) {
      page.row(
          false,
          List.of(
              c.className(),
              Long.toString(c.requests()),
              Long.toString(c.served()),
              Long.toString(c.rejected()),
              Long.toString(c.failed()),
              String.format(Locale.ROOT, "%.1f", c.p99Millis())));
    }
    page.end();
  }
}
