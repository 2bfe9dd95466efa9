package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.List;

/**
 * What became of answers while a release went on, and who was out, for its report. Of bounded size:
 * once it is full two neighbours become one, and each point stands for twice the time.
 *
 * @param every how long a point stands for, in milliseconds
 * @param points the oldest first
 */
public record RolloutTimeSeries(long every, List<Point> points) {
  private static final int MOST_POINTS = 240;
  private static final long SECOND_MILLIS = 1000;

  /** Nothing yet, a point a second. */
  public static final RolloutTimeSeries NONE = new RolloutTimeSeries(SECOND_MILLIS, List.of());

  /**
   * One stretch of time.
   *
   * @param atMillis its end, by the wall clock of whoever drove the release
   * @param good answers that served
   * @param bad refusals and failures
   * @param late of those that served
   * @param planned parts that were out by a permit at its end
   * @param gone parts that were out by themselves
   */
  public record Point(long atMillis, long good, long bad, long late, int planned, int gone) {
    private Point with(Point next) {
      return new Point(
          next.atMillis,
          good + next.good,
          bad + next.bad,
          late + next.late,
          Math.max(planned, next.planned),
          Math.max(gone, next.gone));
    }
  }

  /** A curve of its own. */
  public RolloutTimeSeries {
    points = List.copyOf(points);
  }

  /** Whether the next point is due. */
  boolean due(long atMillis) {
    return points.isEmpty() || atMillis - points.get(points.size() - 1).atMillis() >= every;
  }

  RolloutTimeSeries with(Point point) {
    List<Point> all = new ArrayList<>(points);
    all.add(point);
    if (all.size() <= MOST_POINTS) {
      return new RolloutTimeSeries(every, all);
    }
    List<Point> half = new ArrayList<>();
    for (int i = 0; i < all.size(); i += 2) {
      half.add(i + 1 < all.size() ? all.get(i).with(all.get(i + 1)) : all.get(i));
    }
    return new RolloutTimeSeries(2 * every, half);
  }

  /** As it stands in the store. */
  String text() {
    return JsonWriter.write(
        StoredJson.object(
            "every_ms",
            every,
            "points",
            StoredJson.list(
                points.stream()
                    .map(
                        p ->
                            StoredJson.object(
                                "at",
                                p.atMillis(),
                                "good",
                                p.good(),
                                "bad",
                                p.bad(),
                                "late",
                                p.late(),
                                "planned",
                                p.planned(),
                                "gone",
                                p.gone()))
                    .toList())));
  }

  /** Of a text in the store. */
  static RolloutTimeSeries of(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    List<Point> points = new ArrayList<>();
    for (Json p : json.get("points").items()) {
      points.add(
          new Point(
              number(p, "at"),
              number(p, "good"),
              number(p, "bad"),
              number(p, "late"),
              (int) number(p, "planned"),
              (int) number(p, "gone")));
    }
    return new RolloutTimeSeries(
        StoredJson.wholeNumber(json, "every_ms", 1, Integer.MAX_VALUE), points);
  }

  private static long number(Json json, String key) throws AgreementException {
    return StoredJson.wholeNumber(json, key, 0, Long.MAX_VALUE);
  }
}
