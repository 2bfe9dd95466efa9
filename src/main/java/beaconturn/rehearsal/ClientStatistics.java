package beaconturn.rehearsal;

import beaconturn.history.HistoryEvent;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Counts attempts and their outcomes by request class, and measures latency from the time at which
 * each request was scheduled. Thread-safe.
 */
final class ClientStatistics {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long MAX_LATENCY_NANOS = 600_000_000_000L;
  private static final double NANOS_PER_MILLI = 1e6;
  private final Map<String, ClassCounters> classCounters = new LinkedHashMap<>();
  private final Histogram sendDelays = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);

  /** The counters of one class. */
  private static final class ClassCounters {
    private final Map<HistoryEvent.ClientOutcome, Long> outcomes =
        new EnumMap<>(HistoryEvent.ClientOutcome.class);
    private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private long requests;
    private long attempts;
    private long undelivered;
    private long withinObjective;
  }

  /**
   * The result of one class: requests, attempts, outcomes of attempts, requests served within the
   * latency objective, and the time from a request's schedule to its value.
   */
  record ClassSummary(
      String className,
      long requests,
      long attempts,
      long served,
      long rejected,
      long failed,
      long unanswered,
      long undelivered,
      long withinObjective,
      double medianMillis,
      double p99Millis,
      double maxMillis) {}

  ClientStatistics(Scenario scenario) {
    scenario
        .requestClasses()
        .forEach(requestClass -> classCounters.put(requestClass.name(), new ClassCounters()));
  }

  synchronized void attemptSent(SequentialClient.Attempt attempt, long delayNanos) {
    ClassCounters counters = classCounters.get(attempt.request().requestClass().name());
    counters.requests += attempt.number() == 0 ? 1 : 0;
    counters.attempts++;
    sendDelays.recordValue(Math.min(MAX_LATENCY_NANOS, Math.max(0, delayNanos)));
  }

  synchronized void attemptEnded(SequentialClient.AttemptResult result, long startNanos) {
    ClassCounters counters = classCounters.get(result.attempt().request().requestClass().name());
    if (result.outcome() == null) {
      counters.undelivered++;
      return;
    }
    counters.outcomes.merge(result.outcome(), 1L, Long::sum);
    if (result.outcome() == HistoryEvent.ClientOutcome.SERVED) {
      long latencyNanos = result.atNanos() - startNanos - result.attempt().request().atNanos();
      counters.latency.recordValue(Math.min(MAX_LATENCY_NANOS, Math.max(0, latencyNanos)));
      counters.withinObjective +=
          latencyNanos <= result.attempt().request().requestClass().latencyObjectiveNanos() ? 1 : 0;
    }
  }

  synchronized List<ClassSummary> summaries() {
    List<ClassSummary> summaries = new ArrayList<>();
    classCounters.forEach(
        (className, counters) ->
            summaries.add(
                new ClassSummary(
                    className,
                    counters.requests,
                    counters.attempts,
                    count(counters, HistoryEvent.ClientOutcome.SERVED),
                    count(counters, HistoryEvent.ClientOutcome.REJECTED),
                    count(counters, HistoryEvent.ClientOutcome.FAILED)
                        + count(counters, HistoryEvent.ClientOutcome.DAMAGED),
                    count(counters, HistoryEvent.ClientOutcome.TIMED_OUT)
                        + count(counters, HistoryEvent.ClientOutcome.DISCONNECTED)
                        + count(counters, HistoryEvent.ClientOutcome.ABANDONED),
                    counters.undelivered,
                    counters.withinObjective,
                    counters.latency.getValueAtPercentile(50) / NANOS_PER_MILLI,
                    counters.latency.getValueAtPercentile(99) / NANOS_PER_MILLI,
                    counters.latency.getMaxValue() / NANOS_PER_MILLI)));
    return summaries;
  }

  private static long count(ClassCounters counters, HistoryEvent.ClientOutcome outcome) {
    return counters.outcomes.getOrDefault(outcome, 0L);
  }

  /** Returns the 99th percentile of the delay with which attempts were sent. */
  synchronized double sendDelayP99Millis() {
    return sendDelays.getValueAtPercentile(99) / NANOS_PER_MILLI;
  }
}
