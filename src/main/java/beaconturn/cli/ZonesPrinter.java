package beaconturn.cli;

import beaconturn.zones.ZoneObservations;
import beaconturn.zones.ZoneOverride;
import beaconturn.zones.ZonePlan;
import beaconturn.zones.ZoneReport;
import beaconturn.zones.ZoneState;
import beaconturn.zones.ZonesSnapshot;
import java.util.Locale;

/** Prints zone plans, operator overrides and the reports of routers. */
final class ZonesPrinter {
  private ZonesPrinter() {}

  static void printPlan(ZonePlan plan) {
    System.out.println("plan " + plan.number() + " by " + plan.leader() + ": " + plan.reason());
  }

  static void printSnapshot(ZonesSnapshot snapshot) {
    if (snapshot.plan() == null) {
      System.out.println("no plan: all near");
    } else {
      printPlan(snapshot.plan());
      snapshot.plan().allocations().keySet().forEach(zone -> printZone(snapshot.plan(), zone));
    }
    System.out.println("office: " + (snapshot.leader().isEmpty() ? "nobody" : snapshot.leader()));
    snapshot.overrides().forEach(ZonesPrinter::printOverride);
    snapshot.reports().forEach(ZonesPrinter::printReport);
  }

  private static void printZone(ZonePlan plan, String zone) {
    String state = plan.states().getOrDefault(zone, ZoneState.NEAR).name();
    System.out.println(
        "  "
            + zone
            + " "
            + state.toLowerCase(Locale.ROOT).replace('_', ' ')
            + ": "
            + plan.allocationOf(zone).weights());
  }

  private static void printOverride(ZoneOverride override) {
    System.out.println(
        "  "
            + override.zone()
            + " "
            + override.kind().name().toLowerCase(Locale.ROOT)
            + " by "
            + override.author()
            + ": "
            + override.reason());
  }

  private static void printReport(ZoneReport report) {
    StringBuilder zones = new StringBuilder();
    report.zones().forEach((zone, observations) -> zones.append(describe(zone, observations)));
    System.out.println(
        "  "
            + report.router()
            + " at "
            + report.homeZone()
            + " acts on plan "
            + report.planNumber()
            + zones);
  }

  private static String describe(String zone, ZoneObservations observations) {
    return String.format(
        Locale.ROOT,
        "; %s %d good, %d bad, %d of %d servers warm, %d ejected",
        zone,
        observations.successfulAttempts(),
        observations.failedAttempts(),
        observations.warmServers(),
        observations.listedServers(),
        observations.ejectedServers());
  }
}
