package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.RoutingSettings;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespValue;
import java.util.Arrays;
import java.util.List;

/** Turns what a cache server answers into an outcome. */
public final class CacheResponseReader {
  private static final int PARTS = 3;
  private static final int MOST_DIGITS = 32;
  private final List<String> reportNames;
  private final boolean aside;

  public CacheResponseReader(RoutingSettings settings) {
    this.reportNames = settings.loadReportFields();
    this.aside = settings.origin().aside();
  }

  /**
   * The outcome that the answer stands for; what stands for none is spoilt, and so is its
   * connection.
   */
  public AttemptResult read(RespValue value, long now) throws ProtocolException {
    if (value instanceof RespValue.Array array && array.items() != null) {
      return served(array.items(), now);
    }
    if (value instanceof RespValue.Failure failure) {
      String word = failure.text().toString().split(" ", 2)[0];
      if (word.equals("BUSY")) {
        return AttemptResult.of(AttemptOutcome.REJECTED, now);
      }
      if (word.equals("ERR")) {
        return AttemptResult.of(AttemptOutcome.ERROR, now);
      }
    }
    throw new ProtocolException("an answer that is no value, error or refusal");
  }

  /** The outcome of an answer whose value has gone on already. */
  AttemptResult served(RespValue how, RespValue report, long at) throws ProtocolException {
    if (!(how instanceof RespValue.Bulk word)) {
      throw new ProtocolException(
          "an answer that is not made of a value, a word and a load report");
    }
    return new AttemptResult(AttemptOutcome.OK, at, note(word), report(report), null);
  }

  /**
   * The value or receipt, how it went or null, the load report or null; only the last may be
   * anything.
   */
  private AttemptResult served(List<RespValue> items, long now) throws ProtocolException {
    if (items.size() != PARTS
        || !(items.get(0) instanceof RespValue.Bulk value)
        || !(items.get(1) instanceof RespValue.Bulk how)) {
      throw new ProtocolException(
          "an answer that is not made of a value, a word and a load report");
    }
    CacheStatus note = note(how);
    float[] report = report(items.get(2));
    if (value.bytes() != null) {
      return new AttemptResult(AttemptOutcome.OK, now, note, report, value.frame());
    }
    return new AttemptResult(
        aside ? AttemptOutcome.MISS : AttemptOutcome.ERROR, now, note, report, null);
  }

  private static CacheStatus note(RespValue value) {
    return switch (word(value)) {
      case "hit" -> CacheStatus.HIT;
      case "miss" -> CacheStatus.MISS;
      case "pending" -> CacheStatus.MISS_FETCHING;
      default -> CacheStatus.NONE;
    };
  }

  /** Name and value pairs, in the order of the settings; a report that lacks one is none. */
  private float[] report(RespValue value) {
    String text = word(value);
    if (text.isEmpty() || reportNames.isEmpty()) {
      return AttemptResult.NO_LOAD_REPORT;
    }
    float[] figures = new float[reportNames.size()];
    Arrays.fill(figures, -1);
    int found = 0;
    for (String pair : text.split("[,; ]+")) {
      int equals = pair.indexOf('=');
      int at = equals < 0 ? -1 : reportNames.indexOf(pair.substring(0, equals));
      if (at >= 0 && figures[at] < 0) {
        figures[at] = figure(pair.substring(equals + 1));
        found += figures[at] >= 0 ? 1 : 0;
      }
    }
    return found == figures.length ? figures : AttemptResult.NO_LOAD_REPORT;
  }

  /**
   * A figure of a load report; below 0 if it is none: not a number, negative, or beyond all bounds.
   */
  private static float figure(String digits) {
    boolean readable =
        digits.length() <= MOST_DIGITS && digits.matches("[0-9]+(\\.[0-9]+)?([eE][-+]?[0-9]+)?");
    float value = readable ? Float.parseFloat(digits) : -1;
    return Float.isInfinite(value) ? -1 : value;
  }

  private static String word(RespValue value) {
    return value instanceof RespValue.Bulk bulk && bulk.bytes() != null
        ? bulk.bytes().toString()
        : "";
  }
}
