package beaconturn.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A picture over time: a share as bars, below it who was out when, and what was ordered. */
public final class Chart {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 160;
  private static final int LEFT = 60;
  private static final int GAP = 50;
  private static final int ROW = 14;
  private static final int LABELS = 10;
  private static final double WELL = 0.99;
  private final String bars;
  private final String rows;
  private final double seconds;
  private final List<Bar> shares = new ArrayList<>();
  private final List<Row> lines = new ArrayList<>();
  private final List<Mark> marks = new ArrayList<>();
  private StringBuilder out;

  private record Bar(double from, double to, double share) {}

  private record Mark(double at, String says) {}

  /** One line below the bars, and when something was so. */
  public record Row(String name, List<Span> spans) {}

  /** From a second to another, as one of two kinds: {@code planned}, or by itself. */
  public record Span(double from, double to, boolean planned) {}

  /** A picture of so many seconds; {@code bars} and {@code rows} say what is to be seen there. */
  public Chart(double seconds, String bars, String rows) {
    this.seconds = Math.max(1, seconds);
    this.bars = bars;
    this.rows = rows;
  }

  /** A share from one second to another, 0 to 1. */
  public void share(double from, double to, double share) {
    shares.add(new Bar(from, to, share));
  }

  /** A line below the bars. */
  public void row(Row row) {
    lines.add(row);
  }

  /** A line across at a second. */
  public void mark(double at, String says) {
    marks.add(new Mark(at, says));
  }

  /** The picture. */
  String svg() {
    out = new StringBuilder();
    int below = lines.size() * ROW;
    int top = HEIGHT + GAP;
    out.append(
        String.format(
            Locale.ROOT,
            "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"%s\">",
            LEFT + WIDTH + GAP,
            top + below + GAP,
            Page.safe(bars + "; " + rows)));
    for (Bar bar : shares) {
      double high = bar.share() * (HEIGHT - 2 * ROW);
      box(
          x(bar.from()),
          HEIGHT - high,
          Math.max(1, x(bar.to()) - x(bar.from()) - 1),
          high,
          bar.share() > WELL ? "#7b7" : "#db6");
    }
    text(LEFT - 34, 2 * ROW + 4, "100");
    text(LEFT - 34, HEIGHT, "0");
    text(LEFT, ROW, bars);
    for (int i = 0; i < lines.size(); i++) {
      int at = top + i * ROW;
      text(4, at + ROW - 3, lines.get(i).name());
      lines
          .get(i)
          .spans()
          .forEach(
              s ->
                  box(
                      x(s.from()),
                      at + 2,
                      Math.max(1, x(s.to()) - x(s.from())),
                      ROW - 4,
                      s.planned() ? "#48a" : "#c63"));
    }
    if (!lines.isEmpty()) {
      text(LEFT, top - 6, rows);
    }
    for (Mark mark : marks) {
      box(x(mark.at()), ROW + 4, 1, top + below - ROW, "#999");
      text(x(mark.at()) + 3, top + below + ROW, mark.says());
    }
    double step = Math.max(1, Math.floor(seconds / LABELS));
    for (double at = 0; at <= seconds; at += step) {
      text(x(at), top + below + 2 * ROW + 4, String.format(Locale.ROOT, "%.0f s", at));
    }
    return out.append("</svg>").toString();
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
            Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\">%s</text>", x, y, Page.safe(words)));
  }
}
