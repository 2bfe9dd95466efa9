package beaconturn.decision;

import java.util.stream.DoubleStream;

/**
 * Learned state with which the successor of a router starts. The settings that it is compared with
 * are the successor's own.
 *
 * @param responsesPerNano response rate of all caches
 * @param peakResponsesPerNano recent peak of the response rate
 * @param responseTimeNanos mean response time of caches
 * @param fetchTimeNanos mean time of fetches from the origin
 * @param cacheLimit limit on attempts in flight at caches
 * @param originLimit limit on fetches in flight
 */
public record WarmStartState(
    double responsesPerNano,
    double peakResponsesPerNano,
    double responseTimeNanos,
    double fetchTimeNanos,
    double cacheLimit,
    double originLimit) {
  /** Whether all values are within their possible ranges. */
  public boolean isValid() {
    return DoubleStream.of(
                responsesPerNano,
                peakResponsesPerNano,
                responseTimeNanos,
                fetchTimeNanos,
                cacheLimit,
                originLimit)
            .allMatch(value -> value >= 0 && value < Double.MAX_VALUE)
        && cacheLimit > 0
        && originLimit > 0;
  }
}
