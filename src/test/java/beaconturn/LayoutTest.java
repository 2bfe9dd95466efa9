package beaconturn;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import org.junit.jupiter.api.Test;

/** Which package may use which: arrows point down only, and what decides or models does no I/O. */
class LayoutTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("beaconturn");
  private static final String[] TOOLS = {"beaconturn.rehearsal..", "beaconturn.cli.."};
  private static final String[] ADAPTERS = {
    "beaconturn.net..", "beaconturn.sim..", "beaconturn.standin.net.."
  };
  private static final String[] NO_IO = {
    "beaconturn.decision..",
    "beaconturn.core..",
    "beaconturn.protocol..",
    "beaconturn.standin",
    "beaconturn.standin.store..",
    "beaconturn.agreement..",
    "beaconturn.release..",
    "beaconturn.zones..",
    "beaconturn.history..",
    "beaconturn.toml..",
    "beaconturn.stats..",
    "beaconturn.report.."
  };

  private static void none(String[] of, String... use) {
    noClasses()
        .that()
        .resideInAnyPackage(of)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(use)
        .check(CLASSES);
  }

  private static String[] at(String... packages) {
    return packages;
  }

  @Test
  void nothingBelowUsesTheCommandLineOrTheTools() {
    none(
        at(
            "beaconturn.net..",
            "beaconturn.sim..",
            "beaconturn.standin..",
            "beaconturn.history..",
            "beaconturn.core..",
            "beaconturn.decision..",
            "beaconturn.protocol..",
            "beaconturn.toml.."),
        TOOLS);
    none(at("beaconturn.rehearsal.."), "beaconturn.cli..");
  }

  @Test
  void nothingWithoutIoUsesAnAdapter() {
    none(NO_IO, ADAPTERS);
  }

  @Test
  void adaptersDoNotUseEachOther() {
    none(at("beaconturn.net.."), "beaconturn.sim..", "beaconturn.standin..");
    // The second address knows the figures and nothing else of the router.
    none(
        at("beaconturn.net.control.."),
        "beaconturn.net",
        "beaconturn.net.client..",
        "beaconturn.net.server..",
        "beaconturn.net.discovery..",
        "beaconturn.net.io..",
        "beaconturn.net.agreement..",
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.protocol..");
    none(at("beaconturn.sim.."), "beaconturn.net..", "beaconturn.standin..");
    none(
        at("beaconturn.standin.net.."),
        "beaconturn.net..",
        "beaconturn.sim..",
        "beaconturn.decision..");
    none(
        at("beaconturn.rehearsal.."),
        "beaconturn.net..",
        "beaconturn.sim..",
        "beaconturn.decision..");
  }

  @Test
  void sidesOfARouterMeetOnlyInItsAssembly() {
    String[] others = {"beaconturn.net", "beaconturn.net.agreement..", "beaconturn.net.control.."};
    none(at("beaconturn.net.client..", "beaconturn.net.server.."), others);
    none(at("beaconturn.net.discovery..", "beaconturn.net.io.."), others);
    none(at("beaconturn.net.client.."), "beaconturn.net.server..", "beaconturn.net.discovery..");
    none(at("beaconturn.net.server.."), "beaconturn.net.client..", "beaconturn.net.discovery..");
    none(at("beaconturn.net.discovery.."), "beaconturn.net.client..", "beaconturn.net.server..");
    none(
        at("beaconturn.net.io.."),
        "beaconturn.net.client..",
        "beaconturn.net.server..",
        "beaconturn.net.discovery..");
  }

  @Test
  void decisionsFiguresAndFormatsStandOnTheirOwn() {
    none(
        at("beaconturn.stats.."), "beaconturn.net..", "beaconturn.core..", "beaconturn.decision..");
    none(
        at("beaconturn.agreement.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..");
    none(
        at("beaconturn.release.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..",
        "beaconturn.toml..");
    none(
        at("beaconturn.zones.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..",
        "beaconturn.toml..",
        "beaconturn.release..");
    none(
        at("beaconturn.report.."),
        "beaconturn.core..",
        "beaconturn.rehearsal..",
        "beaconturn.release..");
    none(at("beaconturn.agreement.."), "beaconturn.release..", "beaconturn.zones..");
    none(
        at("beaconturn.decision.."),
        "beaconturn.core..",
        "beaconturn.protocol..",
        "beaconturn.history..",
        "beaconturn.standin..");
    none(
        at("beaconturn.protocol..", "beaconturn.toml.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..");
  }

  @Test
  void theModelAndTheAccountDoNotKnowEachOtherNorTheRouter() {
    none(
        at("beaconturn.standin"),
        "beaconturn.history..",
        "beaconturn.core..",
        "beaconturn.decision..");
    none(
        at("beaconturn.history.."),
        "beaconturn.standin..",
        "beaconturn.core..",
        "beaconturn.decision..");
  }

  @Test
  void whatDecidesOrModelsDoesNoIoAndHasNoClock() {
    none(NO_IO, "java.net..", "java.nio.channels..", "java.nio.file..");
    none(
        at(
            "beaconturn.decision..",
            "beaconturn.agreement..",
            "beaconturn.release..",
            "beaconturn.zones..",
            "beaconturn.standin",
            "beaconturn.history.."),
        "java.time..");
    noClasses()
        .that()
        .resideInAnyPackage(
            "beaconturn.decision..",
            "beaconturn.protocol..",
            "beaconturn.agreement..",
            "beaconturn.release..",
            "beaconturn.zones..",
            "beaconturn.standin.store..",
            "beaconturn.standin",
            "beaconturn.history..")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Math.class, "random")
        .check(CLASSES);
  }

  @Test
  void streamsAreForAdaptersBytesInMemoryAside() {
    noClasses()
        .that()
        .resideInAnyPackage(NO_IO)
        .should()
        .dependOnClassesThat(
            DescribedPredicate.describe(
                "are streams of java.io",
                c ->
                    c.getPackageName().equals("java.io")
                        && !c.getSimpleName().startsWith("ByteArray")
                        && !c.getSimpleName().equals("Serializable")
                        && !c.getSimpleName().equals("OutputStream")
                        && (c.getSimpleName().endsWith("Stream")
                            || c.getSimpleName().endsWith("Reader"))))
        .check(CLASSES);
  }

  /** The operators' platform refuses fork, splice and sendfile to a router. */
  @Test
  void aRouterStartsNoProgramAndCopiesByPlainCalls() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "beaconturn.net..",
            "beaconturn.core..",
            "beaconturn.stats..",
            "beaconturn.decision..",
            "beaconturn.protocol..")
        .should()
        .dependOnClassesThat(
            DescribedPredicate.describe(
                "start programs",
                c -> c.isEquivalentTo(Process.class) || c.isEquivalentTo(ProcessBuilder.class)))
        .orShould()
        .callMethodWhere(
            DescribedPredicate.describe(
                "may copy in the kernel or start a program",
                call ->
                    call.getName().matches("exec")
                        || (call.getTargetOwner().isAssignableTo(FileChannel.class)
                            && call.getName().matches("transferTo|transferFrom"))
                        || (call.getTargetOwner().isEquivalentTo(Files.class)
                            && call.getName().equals("copy"))))
        .check(CLASSES);
  }

  @Test
  void onlyTheKitUsesItsLibraries() {
    none(
        at(
            "beaconturn.net..",
            "beaconturn.core..",
            "beaconturn.decision..",
            "beaconturn.protocol..",
            "beaconturn.sim.."),
        "com.fasterxml..",
        "org.apache.commons.rng..",
        "org.HdrHistogram..");
  }
}
