package beaconturn.net.control;

import beaconturn.stats.Metric;
import java.util.List;

/** Formats metrics as StatsD lines followed by an end marker. */
final class MetricLines {
  private static final String PREFIX = "app.";
  private static final String COUNTER = "|c\n";
  private static final String GAUGE = "|g\n";
  private static final String END = "--";

  private MetricLines() {}

  /**
   * Returns a line {@code app.NAME:VALUE|TYPE} for each metric, then {@code --} without a newline.
   */
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
