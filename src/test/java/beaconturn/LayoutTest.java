package beaconturn;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import org.junit.jupiter.api.Test;

/** Tests the allowed dependencies between packages, and that decisions and models do no I/O. */
class LayoutTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("beaconturn");
  private static final String[] TOOLS = {"beaconturn.rehearsal..", "beaconturn.cli.."};
  private static final String[] ADAPTERS = {
    "beaconturn.net..", "beaconturn.sim..", "beaconturn.standin.net.."
  };
  private static final String[] PURE_PACKAGES = {
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

  private static void assertNoDependency(String[] from, String... to) {
    noClasses()
        .that()
        .resideInAnyPackage(from)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(to)
        .check(CLASSES);
  }

  private static String[] packages(String... packages) {
    return packages;
  }

  @Test
  void onlyToolsDependOnTools() {
    assertNoDependency(
        packages(
            "beaconturn.net..",
            "beaconturn.sim..",
            "beaconturn.standin..",
            "beaconturn.history..",
            "beaconturn.core..",
            "beaconturn.decision..",
            "beaconturn.protocol..",
            "beaconturn.toml.."),
        TOOLS);
    assertNoDependency(packages("beaconturn.rehearsal.."), "beaconturn.cli..");
  }

  @Test
  void purePackagesDoNotDependOnAdapters() {
    assertNoDependency(PURE_PACKAGES, ADAPTERS);
  }

  @Test
  void adaptersDoNotDependOnEachOther() {
    assertNoDependency(packages("beaconturn.net.."), "beaconturn.sim..", "beaconturn.standin..");
    // Of the router, the admin address only depends on the metrics.
    assertNoDependency(
        packages("beaconturn.net.control.."),
        "beaconturn.net",
        "beaconturn.net.client..",
        "beaconturn.net.server..",
        "beaconturn.net.discovery..",
        "beaconturn.net.io..",
        "beaconturn.net.agreement..",
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.protocol..");
    assertNoDependency(packages("beaconturn.sim.."), "beaconturn.net..", "beaconturn.standin..");
    assertNoDependency(
        packages("beaconturn.standin.net.."),
        "beaconturn.net..",
        "beaconturn.sim..",
        "beaconturn.decision..");
    assertNoDependency(
        packages("beaconturn.rehearsal.."),
        "beaconturn.net..",
        "beaconturn.sim..",
        "beaconturn.decision..");
  }

  @Test
  void partsOfTheRouterAreOnlyConnectedInItsAssembly() {
    String[] others = {"beaconturn.net", "beaconturn.net.agreement..", "beaconturn.net.control.."};
    assertNoDependency(packages("beaconturn.net.client..", "beaconturn.net.server.."), others);
    assertNoDependency(packages("beaconturn.net.discovery..", "beaconturn.net.io.."), others);
    assertNoDependency(
        packages("beaconturn.net.client.."),
        "beaconturn.net.server..",
        "beaconturn.net.discovery..");
    assertNoDependency(
        packages("beaconturn.net.server.."),
        "beaconturn.net.client..",
        "beaconturn.net.discovery..");
    assertNoDependency(
        packages("beaconturn.net.discovery.."),
        "beaconturn.net.client..",
        "beaconturn.net.server..");
    assertNoDependency(
        packages("beaconturn.net.io.."),
        "beaconturn.net.client..",
        "beaconturn.net.server..",
        "beaconturn.net.discovery..");
  }

  @Test
  void decisionsMetricsAndFormatsAreIndependent() {
    assertNoDependency(
        packages("beaconturn.stats.."),
        "beaconturn.net..",
        "beaconturn.core..",
        "beaconturn.decision..");
    assertNoDependency(
        packages("beaconturn.agreement.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..");
    assertNoDependency(
        packages("beaconturn.release.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..",
        "beaconturn.toml..");
    assertNoDependency(
        packages("beaconturn.zones.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..",
        "beaconturn.toml..",
        "beaconturn.release..");
    assertNoDependency(
        packages("beaconturn.report.."),
        "beaconturn.core..",
        "beaconturn.rehearsal..",
        "beaconturn.release..");
    assertNoDependency(
        packages("beaconturn.agreement.."), "beaconturn.release..", "beaconturn.zones..");
    assertNoDependency(
        packages("beaconturn.decision.."),
        "beaconturn.core..",
        "beaconturn.protocol..",
        "beaconturn.history..",
        "beaconturn.standin..");
    assertNoDependency(
        packages("beaconturn.protocol..", "beaconturn.toml.."),
        "beaconturn.core..",
        "beaconturn.decision..",
        "beaconturn.standin..",
        "beaconturn.history..");
  }

  @Test
  void standInModelAndHistoryAreIndependentOfEachOtherAndOfTheRouter() {
    assertNoDependency(
        packages("beaconturn.standin"),
        "beaconturn.history..",
        "beaconturn.core..",
        "beaconturn.decision..");
    assertNoDependency(
        packages("beaconturn.history.."),
        "beaconturn.standin..",
        "beaconturn.core..",
        "beaconturn.decision..");
  }

  @Test
  void decisionsAndModelsDoNoIoAndReadNoClock() {
    assertNoDependency(PURE_PACKAGES, "java.net..", "java.nio.channels..", "java.nio.file..");
    assertNoDependency(
        packages(
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
  void purePackagesUseOnlyInMemoryStreams() {
    noClasses()
        .that()
        .resideInAnyPackage(PURE_PACKAGES)
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

  /** The target platform does not permit fork, splice and sendfile. */
  @Test
  void routerStartsNoProcessAndCopiesInUserSpace() {
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
                "start processes",
                c -> c.isEquivalentTo(Process.class) || c.isEquivalentTo(ProcessBuilder.class)))
        .orShould()
        .callMethodWhere(
            DescribedPredicate.describe(
                "may copy in the kernel or start a process",
                call ->
                    call.getName().matches("exec")
                        || (call.getTargetOwner().isAssignableTo(FileChannel.class)
                            && call.getName().matches("transferTo|transferFrom"))
                        || (call.getTargetOwner().isEquivalentTo(Files.class)
                            && call.getName().equals("copy"))))
        .check(CLASSES);
  }

  @Test
  void routerDoesNotDependOnLibrariesOfTheTools() {
    assertNoDependency(
        packages(
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
