package beaconturn.rehearsal;

import beaconturn.history.InvariantResult;
import beaconturn.history.RequestTrace;
import beaconturn.history.Violation;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.List;

/** A rehearsal's report as a JSON object, with every violation and the trace of its request. */
final class JsonReport {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private final RehearsalReport report;

  JsonReport(RehearsalReport report) {
    this.report = report;
  }

  /** Returns the JSON text, which ends with a newline. */
  String write() {
    Json agreement = report.agreementSummary() == null ? new Json.Null() : agreement();
    Json object =
        new JsonObjectBuilder()
            .put("scenario", report.scenario().name())
            .put("seed", report.scenario().seed())
            .put("length_s", report.scenario().lengthNanos() / NANOS_PER_SECOND)
            .put("held", report.held())
            .put("rules", invariants())
            .put("classes", classes())
            .put("kit_cpu_s", report.harnessCpuNanos() / NANOS_PER_SECOND)
            .put("routers_cpu_s", report.routerCpuNanos() / NANOS_PER_SECOND)
            .put("sender_late_ms", report.sendDelayP99Millis())
            .put("paused_ms", report.pausedNanos() / NANOS_PER_MILLI)
            .put("agreement", agreement)
            .build();
    return JsonWriter.write(object) + "\n";
  }

  private List<Json> invariants() {
    List<Json> invariants = new ArrayList<>();
    for (InvariantResult result : report.results()) {
      invariants.add(
          new JsonObjectBuilder()
              .put("rule", result.invariant())
              .put("held", result.held())
              .put("checked", result.checked())
              .put("offences", result.violations().stream().map(this::violation).toList())
              .put("notes", result.notes().stream().map(this::violation).toList())
              .build());
    }
    return invariants;
  }

  private Json violation(Violation violation) {
    List<String> trace =
        violation.requestId().isEmpty()
            ? List.of()
            : RequestTrace.of(report.events(), violation.requestId(), report.startNanos());
    return new JsonObjectBuilder()
        .put("at_s", (violation.atNanos() - report.startNanos()) / NANOS_PER_SECOND)
        .put("request", violation.requestId())
        .put("server", violation.server())
        .put("what", violation.description())
        .putStrings("story", trace)
        .build();
  }

  private List<Json> classes() {
    List<Json> classes = new ArrayList<>();
    for (ClientStatistics.ClassSummary summary : report.classSummaries()) {
      classes.add(
          new JsonObjectBuilder()
              .put("class", summary.className())
              .put("wanted", summary.requests())
              .put("tries", summary.attempts())
              .put("served", summary.served())
              .put("refused", summary.rejected())
              .put("failed", summary.failed())
              .put("unanswered", summary.unanswered())
              .put("unreached", summary.undelivered())
              .put("in_aim", summary.withinObjective())
              .put("p50_ms", summary.medianMillis())
              .put("p99_ms", summary.p99Millis())
              .put("max_ms", summary.maxMillis())
              .build());
    }
    return classes;
  }

  private Json agreement() {
    RehearsalReport.AgreementSummary summary = report.agreementSummary();
    return new JsonObjectBuilder()
        .put("versions", summary.versions().stream().map(this::version).toList())
        .put("contradiction_ms", report.maxContradictionNanos() / NANOS_PER_MILLI)
        .put(
            "stated_ms",
            report.scenario().agreement().timing().maxStalenessNanos() / NANOS_PER_MILLI)
        .put("calls_per_second", summary.storeCallsPerSecond())
        .put("router_kb", summary.peakRouterUsage().memoryKb())
        .put("router_threads", summary.peakRouterUsage().threads())
        .build();
  }

  private Json version(VersionTimeline version) {
    return new JsonObjectBuilder()
        .put("number", version.number())
        .put("proposed_s", (version.proposedAtNanos() - report.startNanos()) / NANOS_PER_SECOND)
        .put("in_force_ms", delayMillis(version, version.inForceAtNanos()))
        .put("settled_ms", delayMillis(version, version.settledAtNanos()))
        .build();
  }

  private static Json delayMillis(VersionTimeline version, long atNanos) {
    return atNanos < 0
        ? new Json.Null()
        : new Json.NumberLiteral(
            Double.toString((atNanos - version.proposedAtNanos()) / NANOS_PER_MILLI));
  }
}
