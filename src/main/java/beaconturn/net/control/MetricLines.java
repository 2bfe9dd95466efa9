package beaconturn.net.control;

import beaconturn.stats.Metric;
import java.util.List;

/** The text form of metrics: lines of StatsD, and a mark at the end. */
final class MetricLines {
  private static final String PREFIX = "app.";
  private static final String COUNTER = "|c\n";
  private static final String GAUGE = "|g\n";
  private static final String END = "--";

  private MetricLines() {}

  /** A line {@code app.NAME:VALUE|TYPE} for each metric, then {@code --} without a line's end. */
  static String of(List<Metric> metrics) {
    StringBuilder text = new StringBuilder();
    for (Metric metric : metrics) {
      text.append(PREFIX)
          .append(metric.name())
          .append(':')
          .append(metric.value())
          .append(metric.gauge() ? GAUGE : COUNTER);
    }
    return text.append(END).toString();
  }
}
