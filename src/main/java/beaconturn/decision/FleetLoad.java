package beaconturn.decision;

/** Attempts in flight of this router: at each server, and at all caches together. */
final class FleetLoad {
  /** Loads are smoothed over this many mean answer times. */
  private static final double SMOOTHING_ANSWER_TIMES = 8;

  private final EventClock clock;
  private final ResponseTimes times;
  private final ServerLoad atCaches = new ServerLoad();

  FleetLoad(EventClock clock, ResponseTimes times) {
    this.clock = clock;
    this.times = times;
  }

  /** An attempt is sent. */
  void attemptStarted(AttemptState attempt) {
    change(attempt, 1);
  }

  /** An attempt has ended. */
  void attemptEnded(AttemptState attempt) {
    change(attempt, -1);
  }

  private void change(AttemptState attempt, int difference) {
    attempt.server().load().change(difference, clock.nowNanos(), smoothingNanos());
    if (attempt.toCache()) {
      atCaches.change(difference, clock.nowNanos(), smoothingNanos());
    }
  }

  /** Attempts in flight at all caches. */
  int inFlightAtCaches() {
    return atCaches.inFlight();
  }

  /** The same, smoothed over {@link #smoothingNanos}. */
  double smoothedAtCaches() {
    return atCaches.smoothed(clock.nowNanos(), smoothingNanos());
  }

  /** Attempts in flight at one server, smoothed over {@link #smoothingNanos}. */
  double smoothedAt(ServerState server) {
    return server.load().smoothed(clock.nowNanos(), smoothingNanos());
  }

  /** Over how long loads are smoothed, in nanoseconds. */
  double smoothingNanos() {
    return SMOOTHING_ANSWER_TIMES * (times.answerNanos().mean() + 1);
  }
}
