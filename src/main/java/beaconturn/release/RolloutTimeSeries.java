package beaconturn.release;

import java.util.ArrayList;
import java.util.List;

/**
 * Responses and unavailable instances over the time of a release, for its report. The size is
 * bounded: when the series is full, neighbouring points are merged and the interval is doubled.
 *
 * @param intervalMillis minimum time between points
 * @param points points, the oldest first
 */
public record RolloutTimeSeries(long intervalMillis, List<Point> points) {
  private static final int MAX_POINTS = 240;
  private static final long INITIAL_INTERVAL_MILLIS = 1000;

  /** A series without points, at the initial interval. */
  public static final RolloutTimeSeries EMPTY =
      new RolloutTimeSeries(INITIAL_INTERVAL_MILLIS, List.of());

  /**
   * Counts over one interval.
   *
   * @param atMillis end of the interval, by the wall clock of the driver
   * @param served successful responses
   * @param failed rejections and errors
   * @param late successful responses after their latency objective
   * @param plannedUnavailable instances out of service under a permit at the end of the interval
   * @param unplannedUnavailable instances out of service without a permit at the end of the
   *     interval
   */
  public record Point(
      long atMillis,
      long served,
      long failed,
      long late,
      int plannedUnavailable,
      int unplannedUnavailable) {
    private Point mergedWith(Point next) {
      return new Point(
          next.atMillis,
          served + next.served,
          failed + next.failed,
          late + next.late,
          Math.max(plannedUnavailable, next.plannedUnavailable),
          Math.max(unplannedUnavailable, next.unplannedUnavailable));
    }
  }

  /** Makes an immutable copy of the points. */
  public RolloutTimeSeries {
    points = List.copyOf(points);
  }

  boolean isDue(long atMillis) {
    return points.isEmpty()
        || atMillis - points.get(points.size() - 1).atMillis() >= intervalMillis;
  }

  /** Returns the series with one more point; merges points if the series is full. */
  RolloutTimeSeries append(Point point) {
    List<Point> extended = new ArrayList<>(points);
    extended.add(point);
    if (extended.size() <= MAX_POINTS) {
      return new RolloutTimeSeries(intervalMillis, extended);
    }
    return new RolloutTimeSeries(2 * intervalMillis, mergedInPairs(extended));
  }

  private static List<Point> mergedInPairs(List<Point> points) {
    List<Point> merged = new ArrayList<>();
    for (int i = 0; i + 1 < points.size(); i += 2) {
      merged.add(points.get(i).mergedWith(points.get(i + 1)));
    }
    if (points.size() % 2 == 1) {
      merged.add(points.get(points.size() - 1));
    }
    return merged;
  }
}
