package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.cli.PlantedAgent;
import beaconturn.history.InvariantResult;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Releases by agents with a defect: the account has to name each. */
@Timeout(120)
class DefectiveAgentRehearsalTest {
  private static final String PLANTED =
      """
        length = "12s"
        [agreement]
        lease = "1s"
        [[router]]
        count = 4
        [[clients]]
        rate = 150
        [release]
        at = "500ms"
        soak = "200ms"
        samples = 5
        wave = [{parts = ["r1"]}, {parts = ["r2", "r3", "r4"]}]
        """;
  @TempDir private Path folder;

  /** An account that cannot fail is worthless: each defect of the agents breaks its rule. */
  @ParameterizedTest
  @CsvSource({
    "IGNORES_NUMBERS, never-too-many-out, none",
    "ACTS_WITHOUT_PERMIT, never-too-many-out, none",
    "COMPARES_WITH_NOTHING, step-once, refuses"
  })
  void aPlantedAgentIsNamed(PlantedAgent.Defect defect, String rule, String harm) throws Exception {
    RehearsalTestRunner.of(
        PLANTED + "harm = \"" + harm + "\"\n",
        new Planted(defect),
        folder,
        (report, logs) -> {
          InvariantResult verdict =
              report.verdicts().stream()
                  .filter(v -> v.invariant().equals(rule))
                  .findFirst()
                  .orElseThrow();
          assertTrue(!verdict.held(), report.text());
        });
  }

  /** Routers and the store as they should be, and agents with a defect. */
  private record Planted(PlantedAgent.Defect defect) implements RouterLauncher {
    private static final ProcessLauncher SOUND = ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main");
    private static final ProcessLauncher PLANTED =
        ProcessLauncher.ofCurrentProgram(PlantedAgent.class.getName());

    @Override
    public RunningRouter launch(LaunchOptions options) throws IOException {
      return SOUND.launch(options);
    }

    @Override
    public List<String> command(List<String> words) {
      if (words.size() < 2 || !words.get(1).equals("agent")) {
        return SOUND.command(words);
      }
      List<String> all = new ArrayList<>(List.of(defect.name()));
      all.addAll(words);
      return PLANTED.command(all);
    }

    @Override
    public boolean supportsRestart() {
      return true;
    }
  }
}
