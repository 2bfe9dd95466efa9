package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutStep;
import beaconturn.release.RolloutTimeSeries;
import beaconturn.report.HtmlPage;
import beaconturn.report.TimelineChart;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The release at hand, or the last one, as a page: what it did, and what became of answers
 * meanwhile.
 */
final class ReleaseReport {
  private static final double MILLIS = 1000;
  private static final double SECOND = 1e9;

  private ReleaseReport() {}

  /** The page. */
  static String of(RolloutAdmin desk) throws AgreementException {
    RolloutSnapshot scene = desk.look();
    if (scene.plan() == null) {
      throw new AgreementException("there is no release");
    }
    HtmlPage page = new HtmlPage("release " + scene.plan().number()).text(scene.plan().reason());
    page.text(
        "It " + RolloutAdmin.words(scene.course()) + "; said by " + scene.course().by() + ".");
    RolloutTimeSeries curve = desk.curve(scene.plan().number());
    if (curve.points().isEmpty()) {
      page.text("Nothing was recorded: nobody drives it yet.");
    } else {
      page.chart(picture(curve));
    }
    page.table("part", "stands at", "variant", "permit", "ready after", "why");
    for (RolloutStep s : scene.steps().values()) {
      page.row(
          s.phase() == RolloutStep.Phase.FAILED,
          List.of(
              s.id(),
              s.phase().name().toLowerCase(Locale.ROOT),
              s.variant().word(),
              Long.toString(s.permit()),
              s.took() == 0 ? "" : String.format(Locale.ROOT, "%.1f s", s.took() / SECOND),
              s.why()));
    }
    page.end().table("history");
    desk.history().forEach(line -> page.row(false, List.of(line)));
    return page.end().html();
  }

  private static TimelineChart picture(RolloutTimeSeries curve) {
    List<RolloutTimeSeries.Point> points = curve.points();
    long start = points.get(0).atMillis() - curve.every();
    double seconds = (points.get(points.size() - 1).atMillis() - start) / MILLIS;
    TimelineChart chart =
        new TimelineChart(
            seconds,
            "served of all answers, in %; late ones in the second line below",
            "out: blue by a permit, orange by itself; late: over a tenth of what was served");
    List<TimelineChart.Span> out = new ArrayList<>();
    List<TimelineChart.Span> late = new ArrayList<>();
    long before = start;
    for (RolloutTimeSeries.Point p : points) {
      double from = (before - start) / MILLIS;
      double to = (p.atMillis() - start) / MILLIS;
      long answers = p.good() + p.bad();
      if (answers > 0) {
        chart.share(from, to, p.good() / (double) answers);
      }
      if (p.planned() + p.gone() > 0) {
        out.add(new TimelineChart.Span(from, to, p.gone() == 0));
      }
      if (10 * p.late() > p.good()) {
        late.add(new TimelineChart.Span(from, to, false));
      }
      before = p.atMillis();
    }
    chart.row(new TimelineChart.Row("out", out));
    chart.row(new TimelineChart.Row("late", late));
    return chart;
  }
}
