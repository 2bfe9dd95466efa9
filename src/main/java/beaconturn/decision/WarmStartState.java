package beaconturn.decision;

import java.util.stream.DoubleStream;

/**
 * The few figures by which a router that follows another begins: events a nanosecond, nanoseconds,
 * and limits in flight. What they are held against still is the follower's own.
 */
public record WarmStartState(
    double answers,
    double peak,
    double answerTime,
    double fetchTime,
    double limit,
    double originLimit) {
  /** Whether they can be figures of a router at all. */
  public boolean sound() {
    return DoubleStream.of(answers, peak, answerTime, fetchTime, limit, originLimit)
            .allMatch(d -> d >= 0 && d < Double.MAX_VALUE)
        && limit > 0
        && originLimit > 0;
  }
}
