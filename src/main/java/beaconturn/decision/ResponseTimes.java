package beaconturn.decision;

/**
 * How long answers take: for each request class, for all of them, and for fetchesFromOrigin from the origin.
 * Tells when an answer counts as late.
 */
final class ResponseTimes {
  /**
   * An answer is late past the mean plus this many mean deviations: 1 in 60 on an exponential tail.
   */
  private static final double LATE_DEVIATIONS = 4;

  /** Weight of the newest sample in the mean work that requests say they need, a ratio. */
  private static final double WORK_SAMPLE_WEIGHT = MovingAverage.DEFAULT_SAMPLE_WEIGHT / 4;

  private final MovingAverage[] responseNanosByClass;
  private final MovingAverage responseNanos = defaultAverage();
  private final MovingAverage fetchNanos = defaultAverage();
  private final MovingAverage workNanos = new MovingAverage(WORK_SAMPLE_WEIGHT);

  /** Makes the averages of so many request classes, without samples. */
  ResponseTimes(int classes) {
    responseNanosByClass = new MovingAverage[classes];
    for (int i = 0; i < classes; i++) {
      responseNanosByClass[i] = defaultAverage();
    }
  }

  private static MovingAverage defaultAverage() {
    return new MovingAverage(MovingAverage.DEFAULT_SAMPLE_WEIGHT);
  }

  /** Begins with means that another router has measured. */
  void warmStart(double meanResponseNanos, double meanFetchNanos) {
    responseNanos.warmStart(meanResponseNanos);
    fetchNanos.warmStart(meanFetchNanos);
  }

  /** A cache has answered from what it holds. */
  void recordResponse(int requestClass, long elapsedNanos) {
    responseNanosByClass[requestClass].add(elapsedNanos);
    responseNanos.add(elapsedNanos);
  }

  /** A fetch from the origin was answered. */
  void recordFetch(long elapsedNanos) {
    fetchNanos.add(elapsedNanos);
  }

  /** Notes the work that a request expects; returns it as a multiple of the mean. */
  double workRatio(long expectedNanos) {
    return expectedNanos > 0 ? expectedNanos / workNanos.add(expectedNanos) : 1;
  }

  /** Answers of all classes. */
  MovingAverage responseNanos() {
    return responseNanos;
  }

  /** Answers of one class. */
  MovingAverage responseNanosOf(int requestClass) {
    return responseNanosByClass[requestClass];
  }

  /** Fetches from the origin. */
  MovingAverage fetchNanos() {
    return fetchNanos;
  }

  /**
   * How long an answer to the request takes at the most, as a rule; the latency objective until
   * samples are known.
   */
  long lateAfterNanos(RequestState request, boolean fetchesFromOrigin) {
    MovingAverage times = fetchesFromOrigin ? fetchNanos : responseNanosByClass[request.classIndex()];
    if (!times.hasSamples()) {
      return request.requestClass().latencyObjectiveNanos();
    }
    double usualNanos = times.mean() * Math.max(1, request.workRatio());
    return (long) (usualNanos + LATE_DEVIATIONS * times.deviation());
  }
}
