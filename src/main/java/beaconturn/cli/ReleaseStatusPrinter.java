package beaconturn.cli;

import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import beaconturn.release.DisruptionPermit;
import beaconturn.release.InstanceKind;
import beaconturn.release.ReleaseFleet;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutStep;
import java.util.List;
import java.util.Map;

/** Prints the state of the current or last release. */
record ReleaseStatusPrinter(RolloutSnapshot snapshot) {
  /** Prints the state as one line of JSON, or as text. */
  void print(boolean json) {
    if (json) {
      System.out.println(json());
    } else {
      printText();
    }
  }

  private String json() {
    List<Json> steps = snapshot.steps().values().stream().map(ReleaseStatusPrinter::json).toList();
    List<Json> permits =
        snapshot.permits().values().stream().map(ReleaseStatusPrinter::json).toList();
    return JsonWriter.write(
        StoredJson.object(
            "release",
            snapshot.plan() == null ? 0 : snapshot.plan().number(),
            "mode",
            snapshot.state().mode().serializedName(),
            "why",
            snapshot.state().reason(),
            "driver",
            snapshot.driver(),
            "steps",
            StoredJson.list(steps),
            "permits",
            StoredJson.list(permits)));
  }

  private static Json json(RolloutStep step) {
    return StoredJson.object(
        "id",
        step.instanceId(),
        "phase",
        step.phase().serializedName(),
        "variant",
        step.variant().serializedName(),
        "permit",
        step.permitNumber(),
        "why",
        step.failureReason());
  }

  private static Json json(DisruptionPermit permit) {
    return StoredJson.object(
        "number",
        permit.number(),
        "kind",
        permit.kind().serializedName(),
        "id",
        permit.instanceId(),
        "holder",
        permit.holder());
  }

  private void printText() {
    System.out.println(headline());
    snapshot.steps().values().forEach(step -> System.out.println(stepLine(step)));
    for (InstanceKind kind : InstanceKind.values()) {
      System.out.println(budgetLine(kind));
    }
  }

  private String headline() {
    if (snapshot.plan() == null) {
      return "no release";
    }
    return "release "
        + snapshot.plan().number()
        + " ("
        + snapshot.plan().reason()
        + ") "
        + RolloutAdmin.describe(snapshot.state())
        + "; driven by "
        + (snapshot.driver().isEmpty() ? "nobody" : snapshot.driver());
  }

  private static String stepLine(RolloutStep step) {
    String reason = step.failureReason().isEmpty() ? "" : ": " + step.failureReason();
    return "  "
        + step.instanceId()
        + " "
        + step.phase().serializedName()
        + ", "
        + step.variant().serializedName()
        + ", permit "
        + step.permitNumber()
        + reason;
  }

  private String budgetLine(InstanceKind kind) {
    ReleaseFleet.Group group = snapshot.fleet().group(kind);
    Map<String, String> planned = snapshot.unavailable(kind, Map.of());
    return kind.serializedName()
        + "s: "
        + group.instanceIds().size()
        + ", at most "
        + group.maxUnavailable()
        + " out and "
        + group.maxUnavailablePerZone()
        + " of a site; planned out: "
        + (planned.isEmpty() ? "none" : planned);
  }
}
