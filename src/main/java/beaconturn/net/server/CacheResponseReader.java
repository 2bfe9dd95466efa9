package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.RoutingSettings;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespValue;
import java.util.Arrays;
import java.util.List;

/** Maps responses of cache servers to attempt results. Immutable; for any thread. */
public final class CacheResponseReader {
  private static final int RESPONSE_ITEMS = 3;
  private static final int LONGEST_NUMBER_CHARS = 32;
  private static final float NO_VALUE = -1;
  private static final String MALFORMED_RESPONSE =
      "an answer that is not made of a value, a word and a load report";

  private final List<String> loadReportFields;
  private final boolean cacheAside;

  /** A reader of responses under these settings. */
  public CacheResponseReader(RoutingSettings settings) {
    this.loadReportFields = settings.loadReportFields();
    this.cacheAside = settings.origin().aside();
  }

  /**
   * The result that the response stands for.
   *
   * @throws ProtocolException if it stands for none; its connection cannot be used any further
   */
  public AttemptResult read(RespValue response, long nowNanos) throws ProtocolException {
    if (response instanceof RespValue.Array array && array.items() != null) {
      return readServed(array.items(), nowNanos);
    }
    if (response instanceof RespValue.SimpleError failure) {
      String code = failure.text().toString().split(" ", 2)[0];
      if (code.equals("BUSY")) {
        return AttemptResult.of(AttemptOutcome.REJECTED, nowNanos);
      }
      if (code.equals("ERR")) {
        return AttemptResult.of(AttemptOutcome.ERROR, nowNanos);
      }
    }
    throw new ProtocolException("an answer that is no value, error or refusal");
  }

  /**
   * The result of a response whose value has been streamed to the client already.
   *
   * @throws ProtocolException if the cache status is not a string
   */
  AttemptResult readStreamed(RespValue status, RespValue report, long atNanos)
      throws ProtocolException {
    if (!(status instanceof RespValue.Bulk word)) {
      throw new ProtocolException(MALFORMED_RESPONSE);
    }
    return new AttemptResult(
        AttemptOutcome.OK, atNanos, cacheStatus(word), loadReport(report), null);
  }

  /**
   * Three items: the value or receipt, the cache status, and the load report. The first two are
   * strings, perhaps null; only the report may be anything.
   */
  private AttemptResult readServed(List<RespValue> items, long nowNanos) throws ProtocolException {
    if (items.size() != RESPONSE_ITEMS
        || !(items.get(0) instanceof RespValue.Bulk value)
        || !(items.get(1) instanceof RespValue.Bulk status)) {
      throw new ProtocolException(MALFORMED_RESPONSE);
    }
    CacheStatus cacheStatus = cacheStatus(status);
    float[] report = loadReport(items.get(2));
    if (value.bytes() != null) {
      return new AttemptResult(AttemptOutcome.OK, nowNanos, cacheStatus, report, value.frame());
    }
    AttemptOutcome withoutValue = cacheAside ? AttemptOutcome.MISS : AttemptOutcome.ERROR;
    return new AttemptResult(withoutValue, nowNanos, cacheStatus, report, null);
  }

  private static CacheStatus cacheStatus(RespValue status) {
    return switch (text(status)) {
      case "hit" -> CacheStatus.HIT;
      case "miss" -> CacheStatus.MISS;
      case "pending" -> CacheStatus.MISS_FETCHING;
      default -> CacheStatus.NONE;
    };
  }

  /**
   * The figures of a load report in the order of the settings. A report that lacks one counts as
   * none: averages must not be made of some servers' figures and not others'.
   */
  private float[] loadReport(RespValue report) {
    String text = text(report);
    if (text.isEmpty() || loadReportFields.isEmpty()) {
      return AttemptResult.NO_LOAD_REPORT;
    }
    float[] figures = new float[loadReportFields.size()];
    Arrays.fill(figures, NO_VALUE);
    int found = 0;
    for (String pair : text.split("[,; ]+")) {
      if (readFigure(pair, figures)) {
        found++;
      }
    }
    return found == figures.length ? figures : AttemptResult.NO_LOAD_REPORT;
  }

  /** Reads {@code NAME=NUMBER} into its place; false if it is none that is still wanted. */
  private boolean readFigure(String pair, float[] figures) {
    int equals = pair.indexOf('=');
    int index = equals < 0 ? -1 : loadReportFields.indexOf(pair.substring(0, equals));
    if (index < 0 || figures[index] >= 0) {
      return false;
    }
    figures[index] = number(pair.substring(equals + 1));
    return figures[index] >= 0;
  }

  /**
   * A number of a load report; {@link #NO_VALUE} if it is none, negative or infinite, as such a
   * figure would stay in the averages that decisions are made from.
   */
  private static float number(String digits) {
    boolean readable =
        digits.length() <= LONGEST_NUMBER_CHARS
            && digits.matches("[0-9]+(\\.[0-9]+)?([eE][-+]?[0-9]+)?");
    float value = readable ? Float.parseFloat(digits) : NO_VALUE;
    return Float.isInfinite(value) ? NO_VALUE : value;
  }

  private static String text(RespValue value) {
    return value instanceof RespValue.Bulk bulk && bulk.bytes() != null
        ? bulk.bytes().toString()
        : "";
  }
}
