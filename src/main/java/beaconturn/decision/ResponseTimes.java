package beaconturn.decision;

/**
 * Tracks response times per request class, over all classes, and of fetches from the origin, and
 * derives when a response is late.
 */
final class ResponseTimes {
  /**
   * A response is late beyond the mean plus this many mean deviations: about 2 % of responses if
   * their times are exponentially distributed.
   */
  private static final double LATE_DEVIATIONS = 4;

  /** Weight of the newest sample in the mean of the work expected by requests. */
  private static final double WORK_SAMPLE_WEIGHT = MovingAverage.DEFAULT_SAMPLE_WEIGHT / 4;

  private final MovingAverage[] responseNanosByClass;
  private final MovingAverage responseNanos = defaultAverage();
  private final MovingAverage fetchNanos = defaultAverage();
  private final MovingAverage workNanos = new MovingAverage(WORK_SAMPLE_WEIGHT);

  /** Creates averages without samples for {@code classes} request classes. */
  ResponseTimes(int classes) {
    responseNanosByClass = new MovingAverage[classes];
    for (int i = 0; i < classes; i++) {
      responseNanosByClass[i] = defaultAverage();
    }
  }

  private static MovingAverage defaultAverage() {
    return new MovingAverage(MovingAverage.DEFAULT_SAMPLE_WEIGHT);
  }

  /** Starts from the means measured by another router. */
  void warmStart(double meanResponseNanos, double meanFetchNanos) {
    responseNanos.warmStart(meanResponseNanos);
    fetchNanos.warmStart(meanFetchNanos);
  }

  /** Records a response that a cache served without a fetch. */
  void recordResponse(int requestClass, long elapsedNanos) {
    responseNanosByClass[requestClass].add(elapsedNanos);
    responseNanos.add(elapsedNanos);
  }

  /** Records a completed fetch from the origin. */
  void recordFetch(long elapsedNanos) {
    fetchNanos.add(elapsedNanos);
  }

  /** Records the expected work of a request; returns it as a multiple of the mean. */
  double workRatio(long expectedNanos) {
    return expectedNanos > 0 ? expectedNanos / workNanos.add(expectedNanos) : 1;
  }

  /** Returns the response times of all classes. */
  MovingAverage responseNanos() {
    return responseNanos;
  }

  /** Returns the response times of one class. */
  MovingAverage responseNanosOf(int requestClass) {
    return responseNanosByClass[requestClass];
  }

  /** Returns the times of fetches from the origin. */
  MovingAverage fetchNanos() {
    return fetchNanos;
  }

  /**
   * Returns how long a response to the request may take before it is late, in nanoseconds; the
   * latency objective while there are no samples.
   */
  long lateAfterNanos(RequestState request, boolean fetchesFromOrigin) {
    MovingAverage averageNanos =
        fetchesFromOrigin ? fetchNanos : responseNanosByClass[request.classIndex()];
    if (!averageNanos.hasSamples()) {
      return request.requestClass().latencyObjectiveNanos();
    }
    double expectedResponseNanos = averageNanos.mean() * Math.max(1, request.workRatio());
    return (long) (expectedResponseNanos + LATE_DEVIATIONS * averageNanos.deviation());
  }
}
