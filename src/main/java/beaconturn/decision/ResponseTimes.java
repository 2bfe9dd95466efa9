package beaconturn.decision;

/**
 * How long answers take: for each request class, for all of them, and for fetches from the origin.
 * Tells when an answer counts as late.
 */
final class ResponseTimes {
  /**
   * An answer is late past the mean plus this many mean deviations: 1 in 60 on an exponential tail.
   */
  private static final double LATE_DEVIATIONS = 4;

  /** Weight of the newest sample in the mean work that requests say they need, a ratio. */
  private static final double WORK_SAMPLE_WEIGHT = MovingAverage.USUAL_SAMPLE_WEIGHT / 4;

  private final MovingAverage[] answerNanosByClass;
  private final MovingAverage answerNanos = usualAverage();
  private final MovingAverage fetchNanos = usualAverage();
  private final MovingAverage workNanos = new MovingAverage(WORK_SAMPLE_WEIGHT);

  /** Makes the averages of so many request classes, without samples. */
  ResponseTimes(int classes) {
    answerNanosByClass = new MovingAverage[classes];
    for (int i = 0; i < classes; i++) {
      answerNanosByClass[i] = usualAverage();
    }
  }

  private static MovingAverage usualAverage() {
    return new MovingAverage(MovingAverage.USUAL_SAMPLE_WEIGHT);
  }

  /** Begins with means that another router has measured. */
  void begin(double meanAnswerNanos, double meanFetchNanos) {
    answerNanos.begin(meanAnswerNanos);
    fetchNanos.begin(meanFetchNanos);
  }

  /** A cache has answered from what it holds. */
  void answered(int requestClass, long elapsedNanos) {
    answerNanosByClass[requestClass].add(elapsedNanos);
    answerNanos.add(elapsedNanos);
  }

  /** A fetch from the origin was answered. */
  void fetched(long elapsedNanos) {
    fetchNanos.add(elapsedNanos);
  }

  /** Notes the work that a request expects; returns it as a multiple of the mean. */
  double workRatio(long expectedNanos) {
    return expectedNanos > 0 ? expectedNanos / workNanos.add(expectedNanos) : 1;
  }

  /** Answers of all classes. */
  MovingAverage answerNanos() {
    return answerNanos;
  }

  /** Answers of one class. */
  MovingAverage answerNanosOf(int requestClass) {
    return answerNanosByClass[requestClass];
  }

  /** Fetches from the origin. */
  MovingAverage fetchNanos() {
    return fetchNanos;
  }

  /**
   * How long an answer to the request takes at the most, as a rule; the latency objective until
   * samples are known.
   */
  long lateAfterNanos(RequestState request, boolean fetches) {
    MovingAverage times = fetches ? fetchNanos : answerNanosByClass[request.classIndex()];
    if (!times.hasSamples()) {
      return request.type().latencyObjectiveNanos();
    }
    double usualNanos = times.mean() * Math.max(1, request.workRatio());
    return (long) (usualNanos + LATE_DEVIATIONS * times.deviation());
  }
}
