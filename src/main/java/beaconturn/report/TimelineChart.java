package beaconturn.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An SVG chart over time: shares as bars at the top, rows with spans of time below, and vertical
 * marks across both. Sizes are in pixels, times in seconds.
 */
public final class TimelineChart {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 160;
  private static final int LEFT = 60;
  private static final int GAP = 50;
  private static final int ROW_HEIGHT = 14;
  private static final int TIME_LABEL_COUNT = 10;

  /** Shares above this are drawn as healthy. */
  private static final double HEALTHY_SHARE = 0.99;

  private final String shareTitle;
  private final String rowsTitle;
  private final double seconds;
  private final List<ShareBar> shares = new ArrayList<>();
  private final List<Row> rows = new ArrayList<>();
  private final List<Mark> marks = new ArrayList<>();
  private StringBuilder out;

  private record ShareBar(double fromSeconds, double toSeconds, double share) {}

  private record Mark(double atSeconds, String label) {}

  /** A named row below the bars with its spans. */
  public record Row(String name, List<Span> spans) {}

  /** A span of time, coloured by whether it was planned. */
  public record Span(double fromSeconds, double toSeconds, boolean planned) {}

  /** Creates an empty chart of the given duration; the titles label its two areas. */
  public TimelineChart(double seconds, String shareTitle, String rowsTitle) {
    this.seconds = Math.max(1, seconds);
    this.shareTitle = shareTitle;
    this.rowsTitle = rowsTitle;
  }

  /** Adds a bar for a share of 0 to 1. */
  public void share(double fromSeconds, double toSeconds, double share) {
    shares.add(new ShareBar(fromSeconds, toSeconds, share));
  }

  /** Adds a row below the bars. */
  public void row(Row row) {
    rows.add(row);
  }

  /** Adds a vertical mark with a label. */
  public void mark(double atSeconds, String label) {
    marks.add(new Mark(atSeconds, label));
  }

  /** Returns the chart as an SVG element. */
  String svg() {
    int rowsHeight = rows.size() * ROW_HEIGHT;
    int rowsTop = HEIGHT + GAP;
    out = new StringBuilder();
    out.append(
        String.format(
            Locale.ROOT,
            "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"%s\">",
            LEFT + WIDTH + GAP,
            rowsTop + rowsHeight + GAP,
            HtmlPage.escape(shareTitle + "; " + rowsTitle)));
    drawShares();
    drawRows(rowsTop);
    drawMarks(rowsTop + rowsHeight);
    drawTimeAxis(rowsTop + rowsHeight);
    return out.append("</svg>").toString();
  }

  private void drawShares() {
    for (ShareBar bar : shares) {
      double height = bar.share() * (HEIGHT - 2 * ROW_HEIGHT);
      double width = Math.max(1, x(bar.toSeconds()) - x(bar.fromSeconds()) - 1);
      box(
          x(bar.fromSeconds()),
          HEIGHT - height,
          width,
          height,
          bar.share() > HEALTHY_SHARE ? "#7b7" : "#db6");
    }
    text(LEFT - 34, 2 * ROW_HEIGHT + 4, "100");
    text(LEFT - 34, HEIGHT, "0");
    text(LEFT, ROW_HEIGHT, shareTitle);
  }

  private void drawRows(int top) {
    for (int i = 0; i < rows.size(); i++) {
      int y = top + i * ROW_HEIGHT;
      text(4, y + ROW_HEIGHT - 3, rows.get(i).name());
      for (Span span : rows.get(i).spans()) {
        double width = Math.max(1, x(span.toSeconds()) - x(span.fromSeconds()));
        box(x(span.fromSeconds()), y + 2, width, ROW_HEIGHT - 4, span.planned() ? "#48a" : "#c63");
      }
    }
    if (!rows.isEmpty()) {
      text(LEFT, top - 6, rowsTitle);
    }
  }

  private void drawMarks(int bottom) {
    for (Mark mark : marks) {
      box(x(mark.atSeconds()), ROW_HEIGHT + 4, 1, bottom - ROW_HEIGHT, "#999");
      text(x(mark.atSeconds()) + 3, bottom + ROW_HEIGHT, mark.label());
    }
  }

  private void drawTimeAxis(int bottom) {
    double stepSeconds = Math.max(1, Math.floor(seconds / TIME_LABEL_COUNT));
    for (double at = 0; at <= seconds; at += stepSeconds) {
      text(x(at), bottom + 2 * ROW_HEIGHT + 4, String.format(Locale.ROOT, "%.0f s", at));
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

  private void text(double x, double y, String label) {
    out.append(
        String.format(
            Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\">%s</text>", x, y, HtmlPage.escape(label)));
  }
}
