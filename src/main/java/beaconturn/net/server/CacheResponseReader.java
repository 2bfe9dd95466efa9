package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.RoutingSettings;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespValue;
import java.util.Arrays;
import java.util.List;

/** Maps responses of cache servers to attempt results. Immutable; safe for any thread. */
public final class CacheResponseReader {
  private static final int RESPONSE_ITEMS = 3;
  private static final int MAX_NUMBER_CHARS = 32;
  private static final float NO_VALUE = -1;
  private static final String MALFORMED_RESPONSE =
      "response is not an array of a value, a cache status and a load report";

  private final List<String> loadReportFields;
  private final boolean cacheAside;

  /** Creates a reader for responses under these settings. */
  public CacheResponseReader(RoutingSettings settings) {
    this.loadReportFields = settings.loadReportFields();
    this.cacheAside = settings.origin().cacheAside();
  }

  /**
   * Maps a response to its result.
   *
   * @throws ProtocolException if the response is malformed; its connection must be closed
   */
  public AttemptResult read(RespValue response, long nowNanos) throws ProtocolException {
    if (response instanceof RespValue.Array array && array.items() != null) {
      return readServed(array.items(), nowNanos);
    }
    if (response instanceof RespValue.SimpleError error) {
      String code = error.text().toString().split(" ", 2)[0];
      if (code.equals("BUSY")) {
        return AttemptResult.of(AttemptOutcome.REJECTED, nowNanos);
      }
      if (code.equals("ERR")) {
        return AttemptResult.of(AttemptOutcome.ERROR, nowNanos);
      }
    }
    throw new ProtocolException("response is neither a value array nor a BUSY or ERR error");
  }

  /**
   * The result of a response whose value has already been streamed to the client.
   *
   * @throws ProtocolException if the cache status is not a string
   */
  AttemptResult readStreamed(RespValue status, RespValue report, long atNanos)
      throws ProtocolException {
    if (!(status instanceof RespValue.Bulk statusText)) {
      throw new ProtocolException(MALFORMED_RESPONSE);
    }
    return new AttemptResult(
        AttemptOutcome.OK, atNanos, cacheStatus(statusText), loadReport(report), null);
  }

  /**
   * Reads an array of three items: the value or receipt, the cache status and the load report. The
   * first two must be strings, which may be null; the report may be of any type.
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
   * The values of a load report in the order of the settings. An incomplete report counts as
   * missing, so that averages over servers are made from complete reports only.
   */
  private float[] loadReport(RespValue report) {
    String text = text(report);
    if (text.isEmpty() || loadReportFields.isEmpty()) {
      return AttemptResult.NO_LOAD_REPORT;
    }
    float[] values = new float[loadReportFields.size()];
    Arrays.fill(values, NO_VALUE);
    int found = 0;
    for (String pair : text.split("[,; ]+")) {
      if (readField(pair, values)) {
        found++;
      }
    }
    return found == values.length ? values : AttemptResult.NO_LOAD_REPORT;
  }

  /** Reads {@code NAME=NUMBER}; false if it is malformed, unknown or a repetition. */
  private boolean readField(String pair, float[] values) {
    int equals = pair.indexOf('=');
    int index = equals < 0 ? -1 : loadReportFields.indexOf(pair.substring(0, equals));
    if (index < 0 || values[index] >= 0) {
      return false;
    }
    values[index] = number(pair.substring(equals + 1));
    return values[index] >= 0;
  }

  /**
   * Parses a number of a load report; {@link #NO_VALUE} if it is malformed, negative or infinite,
   * as such a value would distort the routing policy's averages permanently.
   */
  private static float number(String digits) {
    boolean valid =
        digits.length() <= MAX_NUMBER_CHARS
            && digits.matches("[0-9]+(\\.[0-9]+)?([eE][-+]?[0-9]+)?");
    float value = valid ? Float.parseFloat(digits) : NO_VALUE;
    return Float.isInfinite(value) ? NO_VALUE : value;
  }

  private static String text(RespValue value) {
    return value instanceof RespValue.Bulk bulk && bulk.bytes() != null
        ? bulk.bytes().toString()
        : "";
  }
}
