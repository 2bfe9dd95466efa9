package beaconturn.decision;

import java.util.List;

/** Tracks the loads that caches report with their responses, where such reports are configured. */
final class LoadReports {
  /** Name of the load report field that is used: the number of requests being executed. */
  private static final String BUSY_REQUESTS_FIELD = "busy_reqs";

  /** Multiple of the mean (plus one request) above which a cache is far above the mean. */
  private static final double FAR_ABOVE_MEAN_RATIO = 1.2;

  /**
   * Validity of a report, in smoothing times; with many routers, each one receives reports of a
   * given cache only occasionally.
   */
  private static final double REPORT_VALIDITY_SMOOTHING_TIMES = 16;

  /** Weight of the newest report in the mean of all reports. */
  private static final double SAMPLE_WEIGHT = MovingAverage.DEFAULT_SAMPLE_WEIGHT / 4;

  private final EventClock clock;

  /** Index of the field in each report; negative if reports lack it. */
  private final int fieldIndex;

  private final MovingAverage meanBusyRequests = new MovingAverage(SAMPLE_WEIGHT);

  LoadReports(EventClock clock, List<String> fields) {
    this.clock = clock;
    this.fieldIndex = fields.indexOf(BUSY_REQUESTS_FIELD);
  }

  /** Records the report that came with a response; it may be empty. */
  void received(ServerState server, float[] report) {
    if (fieldIndex >= 0 && fieldIndex < report.length) {
      server.loadReport().update(report[fieldIndex], clock.nowNanos());
      meanBusyRequests.add(report[fieldIndex]);
    }
  }

  /** Whether the cache recently reported a load far above the mean. */
  boolean isFarAboveMean(ServerState server, double smoothingNanos) {
    LoadReport report = server.loadReport();
    return report.busyRequests() > FAR_ABOVE_MEAN_RATIO * (meanBusyRequests.mean() + 1)
        && report.ageNanos(clock.nowNanos()) < REPORT_VALIDITY_SMOOTHING_TIMES * smoothingNanos;
  }
}
