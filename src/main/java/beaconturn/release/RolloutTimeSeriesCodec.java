package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes a time series as one line of JSON, for the store. */
final class RolloutTimeSeriesCodec {
  private RolloutTimeSeriesCodec() {}

  static String encode(RolloutTimeSeries series) {
    List<Json> points = series.points().stream().map(RolloutTimeSeriesCodec::encode).toList();
    return JsonWriter.write(
        StoredJson.object("every_ms", series.intervalMillis(), "points", StoredJson.list(points)));
  }

  private static Json encode(RolloutTimeSeries.Point point) {
    return StoredJson.object(
        "at",
        point.atMillis(),
        "good",
        point.served(),
        "bad",
        point.failed(),
        "late",
        point.late(),
        "planned",
        point.plannedUnavailable(),
        "gone",
        point.unplannedUnavailable());
  }

  static RolloutTimeSeries decode(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    List<RolloutTimeSeries.Point> points = new ArrayList<>();
    for (Json point : json.get("points").items()) {
      points.add(decodePoint(point));
    }
    return new RolloutTimeSeries(
        StoredJson.wholeNumber(json, "every_ms", 1, Integer.MAX_VALUE), points);
  }

  private static RolloutTimeSeries.Point decodePoint(Json point) throws AgreementException {
    return new RolloutTimeSeries.Point(
        StoredFields.number(point, "at"),
        StoredFields.number(point, "good"),
        StoredFields.number(point, "bad"),
        StoredFields.number(point, "late"),
        (int) StoredFields.number(point, "planned"),
        (int) StoredFields.number(point, "gone"));
  }
}
