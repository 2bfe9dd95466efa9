package beaconturn.decision;

import java.util.stream.DoubleStream;

/**
 * The few figures with which a router that follows another begins. The settings that they are
 * compared with are the follower's own.
 *
 * @param responsesPerNano rate of answers of caches
 * @param peakResponsesPerNano its recent peak
 * @param responseTimeNanos mean time of answers
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
  /** Whether they can be figures of a router at all. */
  public boolean isValid() {
    return DoubleStream.of(
                responsesPerNano,
                peakResponsesPerNano,
                responseTimeNanos,
                fetchTimeNanos,
                cacheLimit,
                originLimit)
            .allMatch(figure -> figure >= 0 && figure < Double.MAX_VALUE)
        && cacheLimit > 0
        && originLimit > 0;
  }
}
