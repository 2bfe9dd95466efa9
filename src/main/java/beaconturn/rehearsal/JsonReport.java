package beaconturn.rehearsal;

import beaconturn.history.InvariantResult;
import beaconturn.history.RequestTrace;
import beaconturn.history.Violation;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.List;

/** A rehearsal's report as one JSON object, with every violation and the trace of its request. */
final class JsonReport {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private final RehearsalReport report;

  JsonReport(RehearsalReport report) {
    this.report = report;
  }

  /** Returns the JSON text, ended by a new line. */
  String write() {
    Json agreement = report.fleet() == null ? new Json.Nothing() : agreement();
    Json object =
        new JsonObjectBuilder()
            .put("scenario", report.scenario().name())
            .put("seed", report.scenario().seed())
            .put("length_s", report.scenario().length() / NANOS_PER_SECOND)
            .put("held", report.held())
            .put("rules", invariants())
            .put("classes", classes())
            .put("kit_cpu_s", report.kitCpu() / NANOS_PER_SECOND)
            .put("routers_cpu_s", report.routerCpu() / NANOS_PER_SECOND)
            .put("sender_late_ms", report.senderLate())
            .put("paused_ms", report.paused() / NANOS_PER_MILLI)
            .put("agreement", agreement)
            .build();
    return JsonWriter.write(object) + "\n";
  }

  private List<Json> invariants() {
    List<Json> all = new ArrayList<>();
    for (InvariantResult result : report.verdicts()) {
      all.add(
          new JsonObjectBuilder()
              .put("rule", result.invariant())
              .put("held", result.held())
              .put("checked", result.checked())
              .put("offences", result.violations().stream().map(this::violation).toList())
              .put("notes", result.notes().stream().map(this::violation).toList())
              .build());
    }
    return all;
  }

  private Json violation(Violation violation) {
    List<String> trace =
        violation.requestId().isEmpty()
            ? List.of()
            : RequestTrace.of(report.entries(), violation.requestId(), report.start());
    return new JsonObjectBuilder()
        .put("at_s", (violation.atNanos() - report.start()) / NANOS_PER_SECOND)
        .put("request", violation.requestId())
        .put("server", violation.server())
        .put("what", violation.description())
        .putStrings("story", trace)
        .build();
  }

  private List<Json> classes() {
    List<Json> all = new ArrayList<>();
    for (ClientStatistics.ClassSummary line : report.classes()) {
      all.add(
          new JsonObjectBuilder()
              .put("class", line.className())
              .put("wanted", line.requests())
              .put("tries", line.attempts())
              .put("served", line.served())
              .put("refused", line.rejected())
              .put("failed", line.failed())
              .put("unanswered", line.unanswered())
              .put("unreached", line.undelivered())
              .put("in_aim", line.withinObjective())
              .put("p50_ms", line.medianMillis())
              .put("p99_ms", line.p99Millis())
              .put("max_ms", line.maxMillis())
              .build());
    }
    return all;
  }

  private Json agreement() {
    RehearsalReport.Fleet fleet = report.fleet();
    return new JsonObjectBuilder()
        .put("versions", fleet.passages().stream().map(this::version).toList())
        .put("contradiction_ms", report.contradiction() / NANOS_PER_MILLI)
        .put("stated_ms", report.scenario().agreement().timing().statedNanos() / NANOS_PER_MILLI)
        .put("calls_per_second", fleet.callsPerSecond())
        .put("router_kb", fleet.footprint().memoryKb())
        .put("router_threads", fleet.footprint().threads())
        .build();
  }

  private Json version(VersionTimeline version) {
    return new JsonObjectBuilder()
        .put("number", version.number())
        .put("proposed_s", (version.proposedAtNanos() - report.start()) / NANOS_PER_SECOND)
        .put("in_force_ms", delayMillis(version, version.inForceAtNanos()))
        .put("settled_ms", delayMillis(version, version.settledAtNanos()))
        .build();
  }

  private static Json delayMillis(VersionTimeline version, long at) {
    return at < 0
        ? new Json.Nothing()
        : new Json.Figure(Double.toString((at - version.proposedAtNanos()) / NANOS_PER_MILLI));
  }
}
