package beaconturn.rehearsal;

import beaconturn.history.CrossZoneTraffic;
import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import java.util.List;
import java.util.Locale;

/**
 * The result of a rehearsal.
 *
 * @param scenario the scenario that was run
 * @param startNanos when clients started to send, by the clock of the history
 * @param events the recorded history
 * @param results the result of each invariant
 * @param classSummaries what clients observed, by request class
 * @param harnessCpuNanos processor time of the process that runs the rehearsal
 * @param routerCpuNanos processor time of all routers
 * @param sendDelayP99Millis 99th percentile of how late requests were sent
 * @param pausedNanos how long the machine kept the process that runs the rehearsal from running
 * @param agreementSummary figures of the agreement, or null if the routers share none
 */
public record RehearsalReport(
    Scenario scenario,
    long startNanos,
    List<HistoryEvent> events,
    List<InvariantResult> results,
    List<ClientStatistics.ClassSummary> classSummaries,
    long harnessCpuNanos,
    long routerCpuNanos,
    double sendDelayP99Millis,
    long pausedNanos,
    AgreementSummary agreementSummary) {

  /** Above this share of paused time, violations may be caused by the machine. */
  private static final double MAX_PAUSED_SHARE = 0.2;

  /**
   * Figures of a rehearsal whose routers share a coordination store.
   *
   * @param versions the timeline of each configuration version
   * @param storeCallsPerSecond calls a second at the coordination store
   * @param peakRouterUsage the highest memory and thread count of any router
   */
  record AgreementSummary(
      List<VersionTimeline> versions, double storeCallsPerSecond, ProcessUsage peakRouterUsage) {}

  /** Returns whether every invariant held. */
  public boolean held() {
    return results.stream().allMatch(InvariantResult::held);
  }

  /** Returns whether the machine was paused so long that violations may be caused by that. */
  public boolean disturbedByPauses() {
    return pausedNanos > MAX_PAUSED_SHARE * scenario.lengthNanos();
  }

  /** Returns how long the machine was paused, as a text. */
  String pauseDescription() {
    return String.format(Locale.ROOT, "machine stood still for %.0f ms", pausedNanos / 1e6);
  }

  /** Returns the report as plain text tables. */
  public String text() {
    return new TextReport(this).write();
  }

  /** Returns the report as an HTML page with charts. */
  public String html() {
    return HtmlReport.write(this);
  }

  /** Returns the report as JSON, with every violation. */
  public String json() {
    return new JsonReport(this).write();
  }

  /** Returns the last mode of the release, such as {@code done}; {@code none} without a release. */
  public String releaseOutcome() {
    return events.stream()
        .filter(event -> event instanceof HistoryEvent.ReleaseCommanded)
        .map(event -> ((HistoryEvent.ReleaseCommanded) event).command())
        .reduce("none", (previous, last) -> last);
  }

  /** Returns a summary in one line, for a list of many rehearsals. */
  public String summary() {
    long requests =
        classSummaries.stream().mapToLong(ClientStatistics.ClassSummary::requests).sum();
    long served = classSummaries.stream().mapToLong(ClientStatistics.ClassSummary::served).sum();
    long versionsInForce =
        agreementSummary == null
            ? 0
            : agreementSummary.versions().stream()
                .filter(version -> version.inForceAtNanos() >= 0)
                .count();
    if (scenario.release() != null) {
      long steps =
          events.stream()
              .filter(event -> event instanceof HistoryEvent.VariantChangeStarted)
              .count();
      return String.format(
          Locale.ROOT,
          "%d of %d served, %d steps, the release ended as %s",
          served,
          requests,
          steps,
          releaseOutcome());
    }
    return String.format(
        Locale.ROOT,
        "%d of %d served, %d of %d versions in force, contradiction %.0f ms",
        served,
        requests,
        versionsInForce,
        scenario.versions().size(),
        maxContradictionNanos() / 1e6);
  }

  /** Returns how much traffic left its zone, or null if the scenario has no zones. */
  CrossZoneTraffic crossZoneTraffic() {
    return scenario.zones() == null
        ? null
        : CrossZoneTraffic.of(scenario.invariantBounds(0), events);
  }

  /** Returns the zone plans in the order in which they came into force. */
  List<HistoryEvent.ZonePlanInForce> zonePlans() {
    return events.stream()
        .filter(event -> event instanceof HistoryEvent.ZonePlanInForce)
        .map(event -> (HistoryEvent.ZonePlanInForce) event)
        .toList();
  }

  /** Returns the longest time for which routers acted on contradicting versions. */
  long maxContradictionNanos() {
    return results.stream().mapToLong(InvariantResult::maxNanos).max().orElse(0);
  }
}
