package beaconturn.rehearsal;

import beaconturn.history.HistoryEvent;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What clients felt, by class: tries and their ends, and requests served, counted from when they
 * were wanted.
 */
final class ClientStatistics {
  private static final int DIGITS = 3;
  private static final long LONGEST = 600_000_000_000L;
  private static final double MILLI = 1e6;
  private final Map<String, Row> rows = new LinkedHashMap<>();
  private final Histogram lateness = new Histogram(LONGEST, DIGITS);

  /** The figures of one class. */
  private static final class Row {
    private final Map<HistoryEvent.ClientOutcome, Long> ends =
        new EnumMap<>(HistoryEvent.ClientOutcome.class);
    private final Histogram latency = new Histogram(LONGEST, DIGITS);
    private long wanted;
    private long tries;
    private long unreached;
    private long inAim;
  }

  /**
   * A class at the end: requests wanted, tries, ends of tries, requests served within the aim, and
   * the time from when a request was wanted to its value, in milliseconds.
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
    scenario.types().forEach(type -> rows.put(type.name(), new Row()));
  }

  synchronized void sent(SequentialClient.Try asked, long late) {
    Row row = rows.get(asked.planned().type().name());
    row.wanted += asked.attempt() == 0 ? 1 : 0;
    row.tries++;
    lateness.recordValue(Math.min(LONGEST, Math.max(0, late)));
  }

  synchronized void done(SequentialClient.Result result, long start) {
    Row row = rows.get(result.asked().planned().type().name());
    if (result.kind() == null) {
      row.unreached++;
      return;
    }
    row.ends.merge(result.kind(), 1L, Long::sum);
    if (result.kind() == HistoryEvent.ClientOutcome.SERVED) {
      long took = result.at() - start - result.asked().planned().at();
      row.latency.recordValue(Math.min(LONGEST, Math.max(0, took)));
      row.inAim += took <= result.asked().planned().type().aim() ? 1 : 0;
    }
  }

  synchronized List<ClassSummary> lines() {
    List<ClassSummary> lines = new ArrayList<>();
    rows.forEach(
        (type, row) ->
            lines.add(
                new ClassSummary(
                    type,
                    row.wanted,
                    row.tries,
                    count(row, HistoryEvent.ClientOutcome.SERVED),
                    count(row, HistoryEvent.ClientOutcome.REJECTED),
                    count(row, HistoryEvent.ClientOutcome.FAILED)
                        + count(row, HistoryEvent.ClientOutcome.DAMAGED),
                    count(row, HistoryEvent.ClientOutcome.TIMED_OUT)
                        + count(row, HistoryEvent.ClientOutcome.DISCONNECTED)
                        + count(row, HistoryEvent.ClientOutcome.ABANDONED),
                    row.unreached,
                    row.inAim,
                    row.latency.getValueAtPercentile(50) / MILLI,
                    row.latency.getValueAtPercentile(99) / MILLI,
                    row.latency.getMaxValue() / MILLI)));
    return lines;
  }

  private static long count(Row row, HistoryEvent.ClientOutcome kind) {
    return row.ends.getOrDefault(kind, 0L);
  }

  /** How much later than planned the 99th of a hundred requests was sent, in milliseconds. */
  synchronized double senderLate() {
    return lateness.getValueAtPercentile(99) / MILLI;
  }
}
