package beaconturn.history;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Checks that each router routes by a plan of zone weights that is in force, or was within the
 * convergence time.
 */
final class OneZonePlan extends ZoneInvariant {
  private static final long WINDOW_NANOS = 2_000_000_000;
  private static final int WEIGHT_SCALE = 1000;

  /** Share for trial requests, and for requests of a router without a lease. */
  private static final double ALWAYS_ALLOWED_SHARE = 0.05;

  /**
   * Weight in thousandths above which the share is not limited: such a zone may also receive the
   * overflow of the home zone.
   */
  private static final int MAX_ENFORCED_WEIGHT = 50;

  /** Tolerance for random variation: standard deviations plus a number of attempts. */
  private static final double TOLERANCE_STANDARD_DEVIATIONS = 5;

  private static final double TOLERANCE_ATTEMPTS = 3;

  /** The traffic of one router to another zone in one window. */
  private record Flow(long window, int router, String zone) {
    /** The order of violations; routers are ordered by their number as text. */
    private static final Comparator<Flow> ORDER =
        Comparator.comparingLong(Flow::window)
            .thenComparing(flow -> Integer.toString(flow.router))
            .thenComparing(Flow::zone);
  }

  private final SortedMap<Flow, RemoteShare> shares = new TreeMap<>(Flow.ORDER);
  private final SortedMap<Flow, Double> allowedShares = new TreeMap<>(Flow.ORDER);

  OneZonePlan() {
    super("one-decision", "nobody sends by an older decision beyond the stated time");
  }

  @Override
  void evaluate(HistoryIndex history, ZoneBounds bounds, ZoneTraffic traffic) {
    List<String> zones = bounds.routerZones().stream().distinct().toList();
    for (HistoryEvent.AttemptArrived attempt : traffic.firstAttempts()) {
      String home = bounds.routerZones().get(attempt.router());
      String destination = traffic.zoneOf(attempt.server());
      for (String zone : zones) {
        if (!zone.equals(home)) {
          Flow flow = new Flow(attempt.earliestNanos() / WINDOW_NANOS, attempt.router(), zone);
          shares.computeIfAbsent(flow, f -> new RemoteShare()).add(zone.equals(destination));
          double allowed = allowedShare(history, home, zone, attempt.earliestNanos());
          allowedShares.merge(flow, allowed, Math::max);
        }
      }
    }
    shares.forEach((flow, share) -> check(flow, share, allowedShares.get(flow)));
  }

  private void check(Flow flow, RemoteShare share, double allowed) {
    double attempts = share.attempts();
    double tolerated =
        allowed
            + TOLERANCE_STANDARD_DEVIATIONS * Math.sqrt(allowed * (1 - allowed) / attempts)
            + TOLERANCE_ATTEMPTS / attempts;
    check(
        share.value() <= tolerated,
        flow.window() * WINDOW_NANOS,
        "",
        flow.zone(),
        "router "
            + flow.router()
            + " sent "
            + share.remote()
            + " of "
            + share.attempts()
            + " there, where plans of the stated time"
            + " allot "
            + Math.round(WEIGHT_SCALE * allowed)
            + " of 1000");
  }

  /**
   * Returns the largest share that is allowed by a plan that is in force, or was within the
   * convergence time.
   */
  private static double allowedShare(HistoryIndex history, String home, String zone, long atNanos) {
    InvariantBounds bounds = history.bounds();
    long fromNanos = atNanos - bounds.convergenceNanos() - bounds.sendSlackNanos();
    List<HistoryEvent.ZonePlanInForce> plans = history.events(HistoryEvent.ZonePlanInForce.class);
    double largestShare = ALWAYS_ALLOWED_SHARE;
    for (int i = 0; i < plans.size(); i++) {
      long untilNanos = i + 1 < plans.size() ? plans.get(i + 1).atNanos() : Long.MAX_VALUE;
      if (plans.get(i).atNanos() <= atNanos && untilNanos >= fromNanos) {
        int weight = plans.get(i).weights().getOrDefault(home, Map.of()).getOrDefault(zone, 0);
        double share = weight > MAX_ENFORCED_WEIGHT ? 1 : weight / (double) WEIGHT_SCALE;
        largestShare = Math.max(largestShare, share);
      }
    }
    return largestShare;
  }
}
