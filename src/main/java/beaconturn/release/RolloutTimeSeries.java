package beaconturn.release;

import java.util.ArrayList;
import java.util.List;

/**
 * Answers and unavailable instances over the time of a release, for its report. Its size is
 * bounded: once it is full, each two neighbours are merged and a point stands for twice the time.
 *
 * @param intervalMillis time that a point stands for
 * @param points the oldest first
 */
public record RolloutTimeSeries(long intervalMillis, List<Point> points) {
  private static final int MAX_POINTS = 240;
  private static final long INITIAL_INTERVAL_MILLIS = 1000;

  /** A series without points. */
  public static final RolloutTimeSeries EMPTY =
      new RolloutTimeSeries(INITIAL_INTERVAL_MILLIS, List.of());

  /**
   * One interval.
   *
   * @param atMillis its end, by the wall clock of the driver
   * @param served successful answers
   * @param failed rejections and errors
   * @param late successful answers after their latency objective
   * @param plannedUnavailable instances that were out under a permit at its end
   * @param unplannedUnavailable instances that were out without a permit at its end
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

  /** Copies the points. */
  public RolloutTimeSeries {
    points = List.copyOf(points);
  }

  /** Whether the next point is due. */
  boolean isDue(long atMillis) {
    return points.isEmpty()
        || atMillis - points.get(points.size() - 1).atMillis() >= intervalMillis;
  }

  /** The series with one more point. */
  RolloutTimeSeries append(Point point) {
    List<Point> all = new ArrayList<>(points);
    all.add(point);
    if (all.size() <= MAX_POINTS) {
      return new RolloutTimeSeries(intervalMillis, all);
    }
    return new RolloutTimeSeries(2 * intervalMillis, mergedInPairs(all));
  }

  private static List<Point> mergedInPairs(List<Point> all) {
    List<Point> merged = new ArrayList<>();
    for (int i = 0; i + 1 < all.size(); i += 2) {
      merged.add(all.get(i).mergedWith(all.get(i + 1)));
    }
    if (all.size() % 2 == 1) {
      merged.add(all.get(all.size() - 1));
    }
    return merged;
  }
}
