package beaconturn.rehearsal;

import beaconturn.history.CrossZoneTraffic;
import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import beaconturn.history.UnavailabilityIndex;
import beaconturn.report.HtmlPage;
import beaconturn.report.TimelineChart;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A rehearsal's report as an HTML page: the invariants, the request classes, and charts by second
 * of served requests, unavailable instances and traffic between zones.
 */
final class HtmlReport {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Thousandths of a zone's keys that plans send to other zones at all times. */
  private static final int TRIAL_WEIGHT = 10;

  private final RehearsalReport report;
  private final int seconds;

  private HtmlReport(RehearsalReport report) {
    this.report = report;
    this.seconds = (int) Math.ceil(report.scenario().lengthNanos() / NANOS_PER_SECOND);
  }

  /** Returns the whole page. */
  static String write(RehearsalReport report) {
    return new HtmlReport(report).page();
  }

  private String page() {
    Scenario scenario = report.scenario();
    HtmlPage page = new HtmlPage(scenario.name()).text(scenario.about());
    String seedAndLength =
        String.format(
            Locale.ROOT,
            "seed %d, %.0f s.",
            scenario.seed(),
            scenario.lengthNanos() / NANOS_PER_SECOND);
    if (report.held()) {
      page.text("Every rule held; " + seedAndLength);
    } else {
      page.warning("A rule was broken; " + seedAndLength);
    }
    page.chart(availabilityChart());
    addLocalShareCharts(page);
    addInvariants(page);
    addClasses(page);
    return page.html();
  }

  private double secondsFromStart(long atNanos) {
    return (atNanos - report.startNanos()) / NANOS_PER_SECOND;
  }

  private TimelineChart availabilityChart() {
    TimelineChart chart =
        new TimelineChart(
            seconds,
            "served of what was wanted in each second, in %",
            "out: blue by a step or an operator, orange by itself");
    addServedShares(chart);
    long endNanos = report.startNanos() + report.scenario().lengthNanos();
    List<UnavailabilityIndex.Outage> outages =
        UnavailabilityIndex.of(report.scenario().invariantBounds(0), report.events()).stream()
            .filter(
                outage -> outage.fromNanos() < endNanos && outage.toNanos() > report.startNanos())
            .toList();
    List<String> instances =
        outages.isEmpty() ? List.of() : report.scenario().releasableInstances();
    for (String instance : instances) {
      List<TimelineChart.Span> spans =
          outages.stream()
              .filter(outage -> outage.instanceId().equals(instance))
              .map(
                  outage ->
                      new TimelineChart.Span(
                          secondsFromStart(outage.fromNanos()),
                          secondsFromStart(Math.min(outage.toNanos(), endNanos)),
                          outage.planned()))
              .toList();
      if (!spans.isEmpty()) {
        chart.row(new TimelineChart.Row(instance, spans));
      }
    }
    for (HistoryEvent event : report.events()) {
      String label =
          event instanceof HistoryEvent.ReleaseCommanded commanded
              ? commanded.command()
              : event instanceof HistoryEvent.DisruptionBudgetDefined budget
                  ? "budget " + budget.maxUnavailable()
                  : "";
      if (!label.isEmpty() && secondsFromStart(event.atNanos()) >= 0) {
        chart.mark(secondsFromStart(event.atNanos()), label);
      }
    }
    return chart;
  }

  /** Adds, for the requests first sent in each second, the share that was eventually served. */
  private void addServedShares(TimelineChart chart) {
    ServedBySecond served = new ServedBySecond(report.events(), report.startNanos(), seconds);
    for (int second = 0; second < seconds; second++) {
      chart.share(second, second + 1, served.servedShare(second));
    }
  }

  /**
   * Adds a chart for each zone: the share of traffic that stayed in the zone by second, and the
   * zones to which plans send more of its keys than the trial share.
   */
  private void addLocalShareCharts(HtmlPage page) {
    CrossZoneTraffic crossings = report.crossZoneTraffic();
    if (crossings == null) {
      return;
    }
    List<HistoryEvent.ZonePlanInForce> plans = report.zonePlans();
    crossings
        .localShares()
        .forEach(
            (home, sharesBySecond) -> {
              TimelineChart chart =
                  new TimelineChart(
                      seconds,
                      home + ": first sends that stayed there in each second, in %",
                      "to which places plans allot more than a trial of its keys");
              sharesBySecond.forEach(
                  (clockSecond, share) -> {
                    double second = secondsFromStart(clockSecond * (long) NANOS_PER_SECOND);
                    chart.share(Math.max(0, second), Math.max(0, second + 1), share);
                  });
              for (String other : crossings.localShares().keySet()) {
                List<TimelineChart.Span> spans = new ArrayList<>();
                for (int i = 0; i < plans.size(); i++) {
                  if (!other.equals(home)
                      && plans.get(i).weights().getOrDefault(home, Map.of()).getOrDefault(other, 0)
                          > TRIAL_WEIGHT) {
                    spans.add(
                        new TimelineChart.Span(
                            secondsFromStart(plans.get(i).atNanos()),
                            i + 1 < plans.size()
                                ? secondsFromStart(plans.get(i + 1).atNanos())
                                : seconds,
                            true));
                  }
                }
                if (!spans.isEmpty()) {
                  chart.row(new TimelineChart.Row(other, spans));
                }
              }
              plans.forEach(
                  plan ->
                      chart.mark(secondsFromStart(plan.atNanos()), Long.toString(plan.number())));
              page.chart(chart);
            });
  }

  private void addInvariants(HtmlPage page) {
    page.table("rule", "verdict", "checked", "what it says");
    for (InvariantResult result : report.results()) {
      page.row(
          !result.held(),
          List.of(
              result.invariant(),
              result.held() ? "held" : "BROKEN",
              Long.toString(result.checked()),
              result.held() ? result.summary() : result.violations().get(0).description()));
    }
    page.endTable();
  }

  private void addClasses(HtmlPage page) {
    page.table("class", "wanted", "served", "refused", "failed", "p99 ms");
    for (ClientStatistics.ClassSummary summary : report.classSummaries()) {
      page.row(
          false,
          List.of(
              summary.className(),
              Long.toString(summary.requests()),
              Long.toString(summary.served()),
              Long.toString(summary.rejected()),
              Long.toString(summary.failed()),
              String.format(Locale.ROOT, "%.1f", summary.p99Millis())));
    }
    page.endTable();
  }
}
