package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Lifecycle;
import beaconturn.history.InvariantResult;
import beaconturn.net.PlantedAgreement;
import beaconturn.net.RouterServer;
import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A router that does not keep to what was agreed, among routers that do: the account names it. */
@Timeout(120)
class DefectiveAgreementRehearsalTest {
  @TempDir private Path folder;

  /** What a defect is seen by, where it is not by the servers that versions hold out. */
  private static String day(PlantedAgreement.Defect defect) {
    return switch (defect) {
      case REPEATS ->
          AgreementRehearsalTest.DAY
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
      default -> AgreementRehearsalTest.DAY;
    };
  }

  /** Such a day with one router that has a defect: it is named, and nobody else. */
  @ParameterizedTest
  @EnumSource(PlantedAgreement.Defect.class)
  void aPlantedRouterIsNamed(PlantedAgreement.Defect defect) throws Exception {
    RehearsalTestRunner.of(
        day(defect),
        new FirstRouterDefectiveLauncher(
            features ->
                c ->
                    new RouterServer(
                        c,
                        () -> c,
                        new Lifecycle(),
                        PlantedAgreement.of(defect, features, c),
                        null)),
        folder,
        (report, logs) -> {
          InvariantResult verdict = AgreementRehearsalTest.contradiction(report);
          assertTrue(!verdict.held(), report.text());
          assertTrue(
              verdict.violations().get(0).description().contains("router 0 act"), report.text());
        });
  }
}
