package beaconturn.zones;

import java.util.List;

/**
 * Derives a router's view of a zone from its observations, and a zone's view from its routers.
 * Stateless.
 */
final class ZoneHealthRules {
  /** Attempts of a window required to judge a zone as unhealthy by its failures. */
  private static final long MIN_ATTEMPTS = 4;

  private static final double MAX_FAILURE_SHARE = 0.5;

  /** Number of views from which a single unhealthy view is outvoted even by unknown ones. */
  private static final int MIN_VIEWS_TO_OUTVOTE = 3;

  private ZoneHealthRules() {}

  /** Returns one router's view of a zone. */
  static ZoneHealth viewOf(ZoneObservations observations) {
    if (observations.listedServers() == 0) {
      return ZoneHealth.NOT_LISTED;
    }
    long attempts = observations.successfulAttempts() + observations.failedAttempts();
    if (attempts >= MIN_ATTEMPTS && observations.failedAttempts() > MAX_FAILURE_SHARE * attempts) {
      return ZoneHealth.BROKEN;
    }
    if (observations.successfulAttempts() > observations.failedAttempts()) {
      // Takes precedence over ejections: with trial traffic alone servers are reinstated late, and
      // successful attempts are newer evidence.
      return ZoneHealth.GOOD;
    }
    // Without failed attempts a zone is unknown: an ejection without traffic is only past evidence.
    boolean halfEjected = 2 * observations.ejectedServers() >= observations.listedServers();
    return observations.failedAttempts() > 0 && halfEjected
        ? ZoneHealth.BROKEN
        : ZoneHealth.UNKNOWN;
  }

  /**
   * Returns the majority of the views that are healthy or unhealthy. A zone counts as not listed
   * only if all views agree. With three or more views a single unhealthy view does not make a zone
   * unhealthy, even if all others are unknown.
   */
  static ZoneHealth majority(List<ZoneHealth> views) {
    if (!views.isEmpty() && views.stream().allMatch(view -> view == ZoneHealth.NOT_LISTED)) {
      return ZoneHealth.NOT_LISTED;
    }
    long unhealthy = views.stream().filter(view -> view == ZoneHealth.BROKEN).count();
    long healthy = views.stream().filter(view -> view == ZoneHealth.GOOD).count();
    if (unhealthy > healthy && (unhealthy > 1 || views.size() < MIN_VIEWS_TO_OUTVOTE)) {
      return ZoneHealth.BROKEN;
    }
    return healthy > 0 && healthy >= unhealthy ? ZoneHealth.GOOD : ZoneHealth.UNKNOWN;
  }
}
