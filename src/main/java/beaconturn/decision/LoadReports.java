package beaconturn.decision;

import java.util.List;

/** Loads that caches report with their answers, where the site has such reports. */
final class LoadReports {
  /** The field of a report that is used: requests that the cache is at work on. */
  private static final String BUSY_REQUESTS_FIELD = "busy_reqs";

  /** A cache that reports this many times the mean, and one, is far above it. */
  private static final double FAR_ABOVE_MEAN_RATIO = 1.2;

  /**
   * A report counts for this many smoothing times: many routers hear of one cache but now and then.
   */
  private static final double REPORT_VALIDITY_SMOOTHING_TIMES = 16;

  /** Weight of the newest report in the mean of all, a ratio. */
  private static final double SAMPLE_WEIGHT = MovingAverage.DEFAULT_SAMPLE_WEIGHT / 4;

  private final EventClock clock;

  /** Where the field is in each report; negative for nowhere. */
  private final int fieldIndex;

  private final MovingAverage meanBusyRequests = new MovingAverage(SAMPLE_WEIGHT);

  LoadReports(EventClock clock, List<String> fields) {
    this.clock = clock;
    this.fieldIndex = fields.indexOf(BUSY_REQUESTS_FIELD);
  }

  /** Notes the report that came with an answer; it may be empty. */
  void received(ServerState server, float[] report) {
    if (fieldIndex >= 0 && fieldIndex < report.length) {
      server.loadReport().update(report[fieldIndex], clock.nowNanos());
      meanBusyRequests.add(report[fieldIndex]);
    }
  }

  /** Whether the cache said lately that it holds far more than others. */
  boolean isFarAboveMean(ServerState server, double smoothingNanos) {
    LoadReport report = server.loadReport();
    return report.busyRequests() > FAR_ABOVE_MEAN_RATIO * (meanBusyRequests.mean() + 1)
        && report.ageNanos(clock.nowNanos()) < REPORT_VALIDITY_SMOOTHING_TIMES * smoothingNanos;
  }
}
