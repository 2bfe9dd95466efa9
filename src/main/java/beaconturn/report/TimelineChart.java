package beaconturn.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An SVG chart over time: a share as bars, rows with spans below it, and marks across. */
public final class TimelineChart {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 160;
  private static final int LEFT = 60;
  private static final int GAP = 50;
  private static final int ROW = 14;
  private static final int LABELS = 10;
  private static final double WELL = 0.99;
  private final String shareTitle;
  private final String rowsTitle;
  private final double seconds;
  private final List<ShareBar> shares = new ArrayList<>();
  private final List<Row> lines = new ArrayList<>();
  private final List<Mark> marks = new ArrayList<>();
  private StringBuilder out;

  private record ShareBar(double from, double to, double share) {}

  private record Mark(double at, String label) {}

  /** One line below the bars, and when something was so. */
  public record Row(String name, List<Span> spans) {}

  /** From a second to another, as one of two kinds: {@code planned}, or by itself. */
  public record Span(double from, double to, boolean planned) {}

  /**
   * A picture of so many seconds; {@code shareTitle} and {@code rowsTitle} say what is to be seen
   * there.
   */
  public TimelineChart(double seconds, String shareTitle, String rowsTitle) {
    this.seconds = Math.max(1, seconds);
    this.shareTitle = shareTitle;
    this.rowsTitle = rowsTitle;
  }

  /** A share from one second to another, 0 to 1. */
  public void share(double from, double to, double share) {
    shares.add(new ShareBar(from, to, share));
  }

  /** A line below the bars. */
  public void row(Row row) {
    lines.add(row);
  }

  /** A line across at a second. */
  public void mark(double at, String label) {
    marks.add(new Mark(at, label));
  }

  /** Returns the chart as an SVG element. */
  String svg() {
    int rowsHeight = lines.size() * ROW;
    int rowsTop = HEIGHT + GAP;
    out = new StringBuilder();
    out.append(
        String.format(
            Locale.ROOT,
            "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"%s\">",
            LEFT + WIDTH + GAP,
            rowsTop + rowsHeight + GAP,
            HtmlPage.safe(shareTitle + "; " + rowsTitle)));
    drawShares();
    drawRows(rowsTop);
    drawMarks(rowsTop + rowsHeight);
    drawTimeAxis(rowsTop + rowsHeight);
    return out.append("</svg>").toString();
  }

  private void drawShares() {
    for (ShareBar bar : shares) {
      double high = bar.share() * (HEIGHT - 2 * ROW);
      double width = Math.max(1, x(bar.to()) - x(bar.from()) - 1);
      box(x(bar.from()), HEIGHT - high, width, high, bar.share() > WELL ? "#7b7" : "#db6");
    }
    text(LEFT - 34, 2 * ROW + 4, "100");
    text(LEFT - 34, HEIGHT, "0");
    text(LEFT, ROW, shareTitle);
  }

  private void drawRows(int top) {
    for (int i = 0; i < lines.size(); i++) {
      int y = top + i * ROW;
      text(4, y + ROW - 3, lines.get(i).name());
      for (Span span : lines.get(i).spans()) {
        double width = Math.max(1, x(span.to()) - x(span.from()));
        box(x(span.from()), y + 2, width, ROW - 4, span.planned() ? "#48a" : "#c63");
      }
    }
    if (!lines.isEmpty()) {
      text(LEFT, top - 6, rowsTitle);
    }
  }

  private void drawMarks(int bottom) {
    for (Mark mark : marks) {
      box(x(mark.at()), ROW + 4, 1, bottom - ROW, "#999");
      text(x(mark.at()) + 3, bottom + ROW, mark.label());
    }
  }

  private void drawTimeAxis(int bottom) {
    double step = Math.max(1, Math.floor(seconds / LABELS));
    for (double at = 0; at <= seconds; at += step) {
      text(x(at), bottom + 2 * ROW + 4, String.format(Locale.ROOT, "%.0f s", at));
    }
  }

  private double x(double second) {
    return LEFT + Math.max(0, Math.min(seconds, second)) * WIDTH / seconds;
  }

  private void box(double x, double y, double width, double height, String colour) {
    out.append(
        String.format(
            Locale.ROOT,
            "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
            x,
            y,
            width,
            height,
            colour));
  }

  private void text(double x, double y, String words) {
    out.append(
        String.format(
            Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\">%s</text>", x, y, HtmlPage.safe(words)));
  }
}
