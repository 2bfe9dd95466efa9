package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Lifecycle;
import beaconturn.history.InvariantResult;
import beaconturn.net.FaultyAgreement;
import beaconturn.net.RouterServer;
import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The no-contradiction invariant names a router that violates the agreement, and no other. */
@Timeout(120)
class DefectiveAgreementRehearsalTest {
  @TempDir private Path folder;

  /** Returns a scenario that reveals the defect; most show in the servers that versions exclude. */
  private static String scenarioFor(FaultyAgreement.Defect defect) {
    return switch (defect) {
      case REPEATS ->
          AgreementRehearsalTest.SCENARIO
                  .replaceFirst("out = \\[\"c1\", \"c2\"]", "most_tries = 4")
                  .replaceFirst("out = \\[\"c3\", \"c4\"]", "unsafe = [\"level\"]")
              + "[[fault]]\nkind = \"reset\"\non = [\"c1\", \"c2\", \"c3\"]\npart = 0.2\n"
              + "from = \"0s\"\n";
      case CLAIMS_LISTS ->
          """
                length = "12s"
                [agreement]
                lease = "1s"
                [[router]]
                [[router]]
                [[clients]]
                rate = 120
                [[fault]]
                kind = "link-cut"
                way = "discovery"
                on = ["r1"]
                from = "500ms"
                [[fault]]
                kind = "drain"
                on = ["c1"]
                from = "1s"
                to = "11s"
                [[version]]
                at = "3s"
                newest_list = true
                """;
      default -> AgreementRehearsalTest.SCENARIO;
    };
  }

  @ParameterizedTest
  @EnumSource(FaultyAgreement.Defect.class)
  void namesRouterThatViolatesTheAgreement(FaultyAgreement.Defect defect) throws Exception {
    RehearsalTestRunner.runScenario(
        scenarioFor(defect),
        new FirstRouterDefectiveLauncher(
            features ->
                config ->
                    new RouterServer(
                        config,
                        () -> config,
                        new Lifecycle(),
                        FaultyAgreement.of(defect, features, config),
                        null)),
        folder,
        (report, logs) -> {
          InvariantResult result = AgreementRehearsalTest.contradictionResult(report);
          assertTrue(!result.held(), report.text());
          assertTrue(
              result.violations().get(0).description().contains("router 0 act"), report.text());
        });
  }
}
