package beaconturn.rehearsal;

import beaconturn.history.CrossZoneTraffic;
import beaconturn.history.HistoryEvent;
import beaconturn.history.InvariantResult;
import beaconturn.history.Violation;
import java.util.Locale;

/**
 * A rehearsal's report as plain text: invariants, request classes, totals, configuration versions,
 * release and zones.
 */
final class TextReport {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double KB_PER_MB = 1024;
  private final RehearsalReport report;
  private final StringBuilder out = new StringBuilder();

  TextReport(RehearsalReport report) {
    this.report = report;
  }

  /** Returns the whole report. */
  String write() {
    writeInvariants();
    writeNotes();
    writeClasses();
    writeTotals();
    if (report.agreementSummary() != null) {
      writeVersions();
      writeRollout();
      writeAgreementTotals();
    }
    if (report.scenario().zones() != null) {
      writeZonePlans();
      writeCrossZoneTraffic();
    }
    return out.toString();
  }

  private void append(String format, Object... values) {
    out.append(String.format(Locale.ROOT, format, values));
  }

  private double secondsFromStart(long atNanos) {
    return (atNanos - report.startNanos()) / NANOS_PER_SECOND;
  }

  private void writeInvariants() {
    append("%-16s %-7s %9s  %s%n", "rule", "", "checked", "first offence");
    for (InvariantResult result : report.results()) {
      append(
          "%-16s %-7s %9d  %s%n",
          result.invariant(),
          result.held() ? "held" : "BROKEN",
          result.checked(),
          result.held() ? result.summary() : firstViolation(result));
    }
  }

  private String firstViolation(InvariantResult result) {
    int count = result.violations().size();
    String first = describe(result.violations().get(0));
    return count == 1 ? first : first + " (" + count + " in all)";
  }

  private String describe(Violation violation) {
    return String.format(
        Locale.ROOT,
        "%.3f s%s%s: %s",
        secondsFromStart(violation.atNanos()),
        violation.requestId().isEmpty() ? "" : ", request " + violation.requestId(),
        violation.server().isEmpty() ? "" : ", " + violation.server(),
        violation.description());
  }

  private void writeNotes() {
    for (InvariantResult result : report.results()) {
      for (Violation note : result.notes()) {
        append("noted, %s: %s\n", result.invariant(), describe(note));
      }
    }
  }

  private void writeClasses() {
    append(
        "%n%-14s %7s %7s %7s %7s %7s %7s %7s %7s %9s %9s %9s%n",
        "class", "wanted", "tries", "served", "refused", "failed", "no end", "no way", "in aim",
        "p50 ms", "p99 ms", "max ms");
    for (ClientStatistics.ClassSummary summary : report.classSummaries()) {
      append(
          "%-14s %7d %7d %7d %7d %7d %7d %7d %7d %9.1f %9.1f %9.1f%n",
          summary.className(),
          summary.requests(),
          summary.attempts(),
          summary.served(),
          summary.rejected(),
          summary.failed(),
          summary.unanswered(),
          summary.undelivered(),
          summary.withinObjective(),
          summary.medianMillis(),
          summary.p99Millis(),
          summary.maxMillis());
    }
  }

  private void writeTotals() {
    append(
        "%nseed %d, %.1f s played; processor time: kit %.2f s, "
            + "routers %.2f s; requests sent late by %.1f ms (p99); %s%n",
        report.scenario().seed(),
        report.scenario().lengthNanos() / NANOS_PER_SECOND,
        report.harnessCpuNanos() / NANOS_PER_SECOND,
        report.routerCpuNanos() / NANOS_PER_SECOND,
        report.sendDelayP99Millis(),
        report.pauseDescription());
    if (!report.held() && report.disturbedByPauses()) {
      out.append(
          "which is over a fifth of the play: what was broken may be the"
              + " machine's doing, play it again\n");
    }
  }

  private void writeVersions() {
    for (VersionTimeline version : report.agreementSummary().versions()) {
      append(
          "version %d proposed at %.3f s, %s, %s%n",
          version.number(),
          secondsFromStart(version.proposedAtNanos()),
          delay(version, version.inForceAtNanos(), "in force"),
          delay(version, version.settledAtNanos(), "settled"));
    }
  }

  private static String delay(VersionTimeline version, long atNanos, String stage) {
    if (atNanos < 0) {
      return "not " + stage;
    }
    double delayMillis = (atNanos - version.proposedAtNanos()) / NANOS_PER_MILLI;
    return String.format(Locale.ROOT, "%s after %.0f ms", stage, delayMillis);
  }

  private void writeRollout() {
    for (HistoryEvent event : report.events()) {
      if (event instanceof HistoryEvent.ReleaseCommanded commanded) {
        append(
            "release: %s at %.3f s%n", commanded.command(), secondsFromStart(commanded.atNanos()));
      }
    }
  }

  private void writeAgreementTotals() {
    append(
        "longest contradiction %.0f ms of %.0f ms stated; %.1f calls a"
            + " second at the store; a router held %.1f MB and %d threads at most%n",
        report.maxContradictionNanos() / NANOS_PER_MILLI,
        report.scenario().agreement().timing().maxStalenessNanos() / NANOS_PER_MILLI,
        report.agreementSummary().storeCallsPerSecond(),
        report.agreementSummary().peakRouterUsage().memoryKb() / KB_PER_MB,
        report.agreementSummary().peakRouterUsage().threads());
  }

  private void writeZonePlans() {
    for (HistoryEvent.ZonePlanInForce plan : report.zonePlans()) {
      append(
          "plan %d at %.1f s: %s%n",
          plan.number(), secondsFromStart(plan.atNanos()), plan.weights());
    }
  }

  private void writeCrossZoneTraffic() {
    CrossZoneTraffic crossZoneTraffic = report.crossZoneTraffic();
    int seconds = (int) Math.ceil(report.scenario().lengthNanos() / NANOS_PER_SECOND);
    double worstWindowShare =
        new ServedBySecond(report.events(), report.startNanos(), seconds).worstWindowShare();
    append(
        "places: %.1f %% of first sends went to others, %.1f %% before"
            + " the first trouble; at most %.2f times what its cache servers can do in"
            + " a second (%s); %d"
            + " calls at the origin; worst ten seconds %.1f %% served",
        100 * crossZoneTraffic.remoteShare(),
        100 * crossZoneTraffic.remoteShareBeforeFaults(),
        crossZoneTraffic.peakLoad(),
        crossZoneTraffic.busiestZone(),
        crossZoneTraffic.originFetches(),
        100 * worstWindowShare);
    if (crossZoneTraffic.firstPlanDelayNanos() >= 0) {
      append(
          "; the first plan %.1f s after the trouble",
          crossZoneTraffic.firstPlanDelayNanos() / NANOS_PER_SECOND);
    }
    if (crossZoneTraffic.recoveryPlanDelayNanos() >= 0) {
      append(
          "; the last %.1f s after its end%n",
          crossZoneTraffic.recoveryPlanDelayNanos() / NANOS_PER_SECOND);
    } else {
      out.append('\n');
    }
  }
}
