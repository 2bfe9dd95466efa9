package beaconturn.cli;

import beaconturn.agreement.AgreementSnapshot;
import beaconturn.agreement.AgreementStatus;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigVersion;
import beaconturn.agreement.MemberRecord;
import beaconturn.agreement.StoredJson;
import beaconturn.agreement.VersionHistoryEntry;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.time.Instant;
import java.util.List;
import java.util.Locale;

/** Prints the state and the history of the agreement as text or as lines of JSON. */
final class AgreementPrinter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int SHOWN_DIGEST_LENGTH = 8;
  private static final int SMALL_FLEET_ROUTERS = 100;
  private static final int LARGE_FLEET_ROUTERS = 1000;

  private AgreementPrinter() {}

  static void printStatusJson(ConfigAdmin admin, AgreementStatus status) {
    AgreementSnapshot snapshot = status.snapshot();
    List<Json> routers =
        status.members().stream().map(member -> memberJson(admin, status, member)).toList();
    System.out.println(
        JsonWriter.write(
            StoredJson.object(
                "identity",
                snapshot.agreementId(),
                "current",
                snapshot.current().number(),
                "proposed",
                snapshot.proposedNumber(),
                "settled",
                snapshot.settledNumber(),
                "routers",
                StoredJson.list(routers),
                "waiting",
                StoredJson.texts(status.awaitedMembers()))));
  }

  private static Json memberJson(ConfigAdmin admin, AgreementStatus status, MemberRecord member) {
    return StoredJson.object(
        "name",
        member.name(),
        "acts",
        member.actingNumber(),
        "yes",
        member.ackedNumber(),
        "no",
        member.nackedNumber(),
        "why",
        member.nackReason(),
        "lease",
        admin.holdsLease(status, member));
  }

  static void printStatus(ConfigAdmin admin, AgreementStatus status) {
    AgreementSnapshot snapshot = status.snapshot();
    String id = snapshot.agreementId();
    String proposed = snapshot.proposed() == null ? "nothing" : describe(snapshot.proposed());
    String awaited = "; waits for " + String.join(", ", status.awaitedMembers());
    System.out.println("agreement " + (id.isEmpty() ? "not begun" : id));
    System.out.println("in force   " + describe(snapshot.current()));
    System.out.println("proposed   " + proposed);
    System.out.println(
        "settled    version " + snapshot.settledNumber() + (snapshot.hasOpenStep() ? awaited : ""));
    status.members().forEach(member -> printMember(admin, status, member));
  }

  private static void printMember(ConfigAdmin admin, AgreementStatus status, MemberRecord member) {
    String rejection = ", no to " + member.nackedNumber() + ": " + member.nackReason();
    System.out.printf(
        Locale.ROOT,
        "  %-16s acts on %d, yes to %d%s%s%n",
        member.name(),
        member.actingNumber(),
        member.ackedNumber(),
        member.nackedNumber() > 0 ? rejection : "",
        admin.holdsLease(status, member) ? "" : ", no lease");
  }

  private static String describe(ConfigVersion version) {
    if (version.number() == 0) {
      return "each router's own configuration";
    }
    return "version "
        + version.number()
        + ", "
        + Instant.ofEpochMilli(version.proposedAtMillis())
        + ", "
        + version.author()
        + ": "
        + version.reason()
        + " ("
        + version.digest().substring(0, SHOWN_DIGEST_LENGTH)
        + ")";
  }

  static void printVersionJson(VersionHistoryEntry entry) {
    System.out.println(ConfigCodec.encode(entry.version()));
  }

  static void printVersion(VersionHistoryEntry entry) {
    String rejection = "; turned down: " + entry.rejectionReason();
    System.out.println(
        describe(entry.version())
            + (entry.rejectionReason() == null ? "" : rejection)
            + "\n    "
            + JsonWriter.write(ConfigCodec.contentJson(entry.version().content())));
  }

  static void printTiming(AgreementTiming timing) {
    double leaseSeconds = timing.leaseNanos() / NANOS_PER_SECOND;
    System.out.printf(
        Locale.ROOT,
        "lease        %.1f s, renewed every %.2f s, a call takes %.2f s at most%n"
            + "store lease  %d s: longer than the lease by what two clocks may err (%.1f %%)%n"
            + "stated time  %.2f s: so long after a version is in force anywhere another"
            + " router may act "
            + "on the one before%n             = lease %.2f s by a slow clock + %.2f s to"
            + " put it in force%n"
            + "calls        %.0f a second at the store for 100 routers, %.0f for 1000%n",
        leaseSeconds,
        timing.renewIntervalNanos() / NANOS_PER_SECOND,
        timing.requestTimeoutNanos() / NANOS_PER_SECOND,
        timing.storeLeaseSeconds(),
        timing.clockDrift() * 100,
        timing.maxStalenessNanos() / NANOS_PER_SECOND,
        leaseSeconds * (1 + timing.clockDrift()),
        timing.applyNanos() / NANOS_PER_SECOND,
        timing.requestsPerSecond(SMALL_FLEET_ROUTERS),
        timing.requestsPerSecond(LARGE_FLEET_ROUTERS));
  }
}
