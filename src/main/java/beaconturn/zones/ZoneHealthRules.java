package beaconturn.zones;

import java.util.List;

/** Turns observations into the view of a router, and views into that of a zone. Pure functions. */
final class ZoneHealthRules {
  /** So many attempts of a window at least tell something. */
  private static final long MIN_ATTEMPTS = 4;

  private static final double MAX_BAD_SHARE = 0.5;

  /** Among so many views one that is bad may be outvoted by others that know nothing. */
  private static final int MIN_VIEWS_TO_OUTVOTE = 3;

  private ZoneHealthRules() {}

  /** What one router makes of one zone. */
  static ZoneHealth viewOf(ZoneObservations seen) {
    if (seen.listedServers() == 0) {
      return ZoneHealth.NOT_LISTED;
    }
    long attempts = seen.successfulAttempts() + seen.failedAttempts();
    if (attempts >= MIN_ATTEMPTS && seen.failedAttempts() > MAX_BAD_SHARE * attempts) {
      return ZoneHealth.BROKEN;
    }
    if (seen.successfulAttempts() > seen.failedAttempts()) {
      // Also where servers are ejected still: by trials alone they come back late, and answers are
      // newer.
      return ZoneHealth.GOOD;
    }
    // What nobody has tried is not known to be bad: without traffic an ejection only tells what
    // once was.
    boolean mostEjected = 2 * seen.ejectedServers() >= seen.listedServers();
    return seen.failedAttempts() > 0 && mostEjected ? ZoneHealth.BROKEN : ZoneHealth.UNKNOWN;
  }

  /**
   * The view of most of those that know something. That a zone is not listed counts only if nobody
   * lists it. Where there are three views or more, one bad view alone does not make the zone bad,
   * even if the others have seen nothing.
   */
  static ZoneHealth majority(List<ZoneHealth> views) {
    if (!views.isEmpty() && views.stream().allMatch(view -> view == ZoneHealth.NOT_LISTED)) {
      return ZoneHealth.NOT_LISTED;
    }
    long bad = views.stream().filter(view -> view == ZoneHealth.BROKEN).count();
    long good = views.stream().filter(view -> view == ZoneHealth.GOOD).count();
    if (bad > good && (bad > 1 || views.size() < MIN_VIEWS_TO_OUTVOTE)) {
      return ZoneHealth.BROKEN;
    }
    return good > 0 && good >= bad ? ZoneHealth.GOOD : ZoneHealth.UNKNOWN;
  }
}
