package beaconturn.history;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Each router sends by a plan of zone weights that is in force, or was within the stated time. */
final class OneZonePlan extends ZoneInvariant {
  private static final long WINDOW_NANOS = 2_000_000_000;
  private static final int THOUSAND = 1000;

  /** Share for trials, and for what every plan leaves to a router without a lease. */
  private static final double ALWAYS_ALLOWED_SHARE = 0.05;

  /** Above so many thousandths, keys that the own zone has no room for may go there too. */
  private static final int LARGE_WEIGHT = 50;

  /** Allowance for chance: so many standard deviations, and so many attempts. */
  private static final double DEVIATIONS = 5;

  private static final double SPARE_ATTEMPTS = 3;

  /** What one router sends to another zone in one window. */
  private record Flow(long window, int router, String zone) {
    /** The order in which violations of one window are told: routers by their number as a text. */
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
  void evaluate(HistoryIndex history, ZoneBounds bounds, ZoneSendHistory traffic) {
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
    double bound =
        allowed
            + DEVIATIONS * Math.sqrt(allowed * (1 - allowed) / attempts)
            + SPARE_ATTEMPTS / attempts;
    check(
        share.value() <= bound,
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
            + Math.round(THOUSAND * allowed)
            + " of 1000");
  }

  /** The largest share that any plan allows which is in force, or was within the stated time. */
  private static double allowedShare(HistoryIndex history, String home, String zone, long atNanos) {
    InvariantBounds bounds = history.bounds();
    long fromNanos = atNanos - bounds.convergenceNanos() - bounds.sendSlackNanos();
    List<HistoryEvent.ZonePlanInForce> plans = history.events(HistoryEvent.ZonePlanInForce.class);
    double largest = ALWAYS_ALLOWED_SHARE;
    for (int i = 0; i < plans.size(); i++) {
      long untilNanos = i + 1 < plans.size() ? plans.get(i + 1).atNanos() : Long.MAX_VALUE;
      if (plans.get(i).atNanos() <= atNanos && untilNanos >= fromNanos) {
        int weight = plans.get(i).weights().getOrDefault(home, Map.of()).getOrDefault(zone, 0);
        double share = weight > LARGE_WEIGHT ? 1 : weight / (double) THOUSAND;
        largest = Math.max(largest, share);
      }
    }
    return largest;
  }
}
