package beaconturn.rehearsal;

import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import beaconturn.history.ZoneCrossings;
import java.util.List;
import java.util.Locale;

/**
 * What a rehearsal has shown.
 *
 * @param scenario what was played
 * @param start when the first second began, in nanoseconds of the account's clock
 * @param entries the whole account
 * @param verdicts rule by rule
 * @param classes what clients felt
 * @param kitCpu processor time of the kit during the play, in nanoseconds
 * @param routerCpu that of all routers, in nanoseconds
 * @param senderLate how late the 99th of a hundred requests was sent, in milliseconds
 * @param paused nanoseconds for which the machine kept the kit from running
 * @param fleet what a fleet that agrees shows beside, or null
 */
public record RehearsalReport(
    Scenario scenario,
    long start,
    List<HistoryEvent> entries,
    List<InvariantResult> verdicts,
    List<ClientStatistics.ClassSummary> classes,
    long kitCpu,
    long routerCpu,
    double senderLate,
    long paused,
    Fleet fleet) {

  /** Where the machine stood still for a larger part of a play, what was late may be its doing. */
  private static final double MOST_STILL = 0.2;

  /**
   * What became of each version, calls at the store in a second, and the most that a router held.
   */
  record Fleet(List<VersionTimeline> passages, double callsPerSecond, ProcessUsage footprint) {}

  /** Whether every rule was kept. */
  public boolean held() {
    return verdicts.stream().allMatch(InvariantResult::held);
  }

  /**
   * Whether the machine stood still for so much of the play that a broken rule may be its own
   * doing.
   */
  public boolean disturbed() {
    return paused > MOST_STILL * scenario.length();
  }

  /** For how long the machine stood still, in words. */
  String stoodStill() {
    return String.format(Locale.ROOT, "machine stood still for %.0f ms", paused / 1e6);
  }

  /** Returns the report as plain text tables. */
  public String text() {
    return new TextReport(this).write();
  }

  /** Returns the report as an HTML page with a picture of what was served and what was out. */
  public String html() {
    return HtmlReport.of(this);
  }

  /** Returns the report as JSON, with every violation. */
  public String json() {
    return new JsonReport(this).write();
  }

  /** What a release came to: the last word on its course, or none. */
  public String ending() {
    return entries.stream()
        .filter(e -> e instanceof HistoryEvent.ReleaseCommanded)
        .map(e -> ((HistoryEvent.ReleaseCommanded) e).command())
        .reduce("none", (before, last) -> last);
  }

  /** In a few words, for a list of many plays. */
  public String summary() {
    long wanted = classes.stream().mapToLong(ClientStatistics.ClassSummary::requests).sum();
    long served = classes.stream().mapToLong(ClientStatistics.ClassSummary::served).sum();
    long inForce =
        fleet == null ? 0 : fleet.passages().stream().filter(p -> p.inForceAtNanos() >= 0).count();
    if (scenario.release() != null) {
      long steps =
          entries.stream().filter(e -> e instanceof HistoryEvent.VariantChangeBegun).count();
      return String.format(
          Locale.ROOT,
          "%d of %d served, %d steps, the release ended as %s",
          served,
          wanted,
          steps,
          ending());
    }
    return String.format(
        Locale.ROOT,
        "%d of %d served, %d of %d versions in force, contradiction %.0f ms",
        served,
        wanted,
        inForce,
        scenario.versions().size(),
        contradiction() / 1e6);
  }

  /** How far traffic went from its place; null where routers know of no places. */
  ZoneCrossings crossings() {
    return scenario.zones() == null ? null : ZoneCrossings.of(scenario.terms(0), entries);
  }

  /** What was decided of places, in its order. */
  List<HistoryEvent.ZonePlanInForce> plans() {
    return entries.stream()
        .filter(e -> e instanceof HistoryEvent.ZonePlanInForce)
        .map(e -> (HistoryEvent.ZonePlanInForce) e)
        .toList();
  }

  /** Returns the longest contradiction between versions, in nanoseconds. */
  long contradiction() {
    return verdicts.stream().mapToLong(InvariantResult::maxNanos).max().orElse(0);
  }
}
