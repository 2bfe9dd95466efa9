package beaconturn.decision;

/** Tracks this router's attempts in flight, per server and over all caches. */
final class FleetLoad {
  /** Smoothing time, in mean response times. */
  private static final double SMOOTHING_RESPONSE_TIMES = 8;

  private final EventClock clock;
  private final ResponseTimes times;
  private final ServerLoad atCaches = new ServerLoad();

  FleetLoad(EventClock clock, ResponseTimes times) {
    this.clock = clock;
    this.times = times;
  }

  void attemptStarted(AttemptState attempt) {
    change(attempt, 1);
  }

  void attemptEnded(AttemptState attempt) {
    change(attempt, -1);
  }

  private void change(AttemptState attempt, int delta) {
    attempt.server().load().change(delta, clock.nowNanos(), smoothingNanos());
    if (attempt.toCache()) {
      atCaches.change(delta, clock.nowNanos(), smoothingNanos());
    }
  }

  /** Returns the attempts in flight at all caches. */
  int inFlightAtCaches() {
    return atCaches.inFlight();
  }

  /** Returns the attempts in flight at all caches, smoothed over {@link #smoothingNanos}. */
  double smoothedAtCaches() {
    return atCaches.smoothed(clock.nowNanos(), smoothingNanos());
  }

  /** Returns the attempts in flight at one server, smoothed over {@link #smoothingNanos}. */
  double smoothedAt(ServerState server) {
    return server.load().smoothed(clock.nowNanos(), smoothingNanos());
  }

  /** Returns the smoothing time of loads, in nanoseconds. */
  double smoothingNanos() {
    return SMOOTHING_RESPONSE_TIMES * (times.responseNanos().mean() + 1);
  }
}
