package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutStep;
import beaconturn.release.RolloutTimeSeries;
import beaconturn.release.StepPhase;
import beaconturn.report.HtmlPage;
import beaconturn.report.TimelineChart;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Renders the current or last release as an HTML page: its steps, history and time series. */
final class ReleaseReport {
  private static final double MILLIS_PER_SECOND = 1000;
  private static final double NANOS_PER_SECOND = 1e9;

  /** A point is marked if more than one in this many successful responses was late. */
  private static final int LATE_MARK_DIVISOR = 10;

  private ReleaseReport() {}

  /**
   * Renders the page.
   *
   * @throws AgreementException if there is no release, or the store does not reply
   */
  static String of(RolloutAdmin rollouts) throws AgreementException {
    RolloutSnapshot snapshot = rollouts.snapshot();
    if (snapshot.plan() == null) {
      throw new AgreementException("there is no release");
    }
    HtmlPage page =
        new HtmlPage("release " + snapshot.plan().number()).text(snapshot.plan().reason());
    page.text(
        "It "
            + RolloutAdmin.describe(snapshot.state())
            + "; said by "
            + snapshot.state().author()
            + ".");
    RolloutTimeSeries series = rollouts.timeSeries(snapshot.plan().number());
    if (series.points().isEmpty()) {
      page.text("Nothing was recorded: nobody drives it yet.");
    } else {
      page.chart(chart(series));
    }
    page.table("part", "stands at", "variant", "permit", "ready after", "why");
    snapshot.steps().values().forEach(step -> addRow(page, step));
    page.endTable().table("history");
    rollouts.history().forEach(line -> page.row(false, List.of(line)));
    return page.endTable().html();
  }

  private static void addRow(HtmlPage page, RolloutStep step) {
    String readyAfter =
        step.readyAfterNanos() == 0
            ? ""
            : String.format(Locale.ROOT, "%.1f s", step.readyAfterNanos() / NANOS_PER_SECOND);
    page.row(
        step.phase() == StepPhase.FAILED,
        List.of(
            step.instanceId(),
            step.phase().serializedName(),
            step.variant().serializedName(),
            Long.toString(step.permitNumber()),
            readyAfter,
            step.failureReason()));
  }

  private static TimelineChart chart(RolloutTimeSeries series) {
    List<RolloutTimeSeries.Point> points = series.points();
    long startMillis = points.get(0).atMillis() - series.intervalMillis();
    TimelineChart chart =
        new TimelineChart(
            seconds(startMillis, points.get(points.size() - 1).atMillis()),
            "served of all answers, in %; late ones in the second line below",
            "out: blue by a permit, orange by itself; late: over a tenth of what was served");
    List<TimelineChart.Span> down = new ArrayList<>();
    List<TimelineChart.Span> late = new ArrayList<>();
    long previousMillis = startMillis;
    for (RolloutTimeSeries.Point point : points) {
      double fromSeconds = seconds(startMillis, previousMillis);
      double toSeconds = seconds(startMillis, point.atMillis());
      long responses = point.served() + point.failed();
      if (responses > 0) {
        chart.share(fromSeconds, toSeconds, point.served() / (double) responses);
      }
      if (point.plannedUnavailable() + point.unplannedUnavailable() > 0) {
        down.add(new TimelineChart.Span(fromSeconds, toSeconds, point.unplannedUnavailable() == 0));
      }
      if (LATE_MARK_DIVISOR * point.late() > point.served()) {
        late.add(new TimelineChart.Span(fromSeconds, toSeconds, false));
      }
      previousMillis = point.atMillis();
    }
    chart.row(new TimelineChart.Row("out", down));
    chart.row(new TimelineChart.Row("late", late));
    return chart;
  }

  private static double seconds(long fromMillis, long toMillis) {
    return (toMillis - fromMillis) / MILLIS_PER_SECOND;
  }
}
