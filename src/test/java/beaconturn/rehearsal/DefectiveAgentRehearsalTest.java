package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.cli.DefectiveAgent;
import beaconturn.history.InvariantResult;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Releases by agents with a defect: the invariant that guards against it has to be violated. */
@Timeout(120)
class DefectiveAgentRehearsalTest {
  private static final String SCENARIO =
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

  @ParameterizedTest
  @CsvSource({
    "IGNORES_PERMITS, never-too-many-out, none",
    "ACTS_WITHOUT_PERMIT, never-too-many-out, none",
    "IGNORES_COMPARISON, step-once, refuses"
  })
  void detectsDefectiveAgents(DefectiveAgent.Defect defect, String invariant, String harm)
      throws Exception {
    RehearsalTestRunner.runScenario(
        SCENARIO + "harm = \"" + harm + "\"\n",
        new DefectiveAgents(defect),
        folder,
        (report, logs) -> {
          InvariantResult result =
              report.results().stream()
                  .filter(candidate -> candidate.invariant().equals(invariant))
                  .findFirst()
                  .orElseThrow();
          assertTrue(!result.held(), report.text());
        });
  }

  /** Starts correct routers and a correct store, and agents with a defect. */
  private record DefectiveAgents(DefectiveAgent.Defect defect) implements RouterLauncher {
    private static final ProcessLauncher CORRECT_LAUNCHER =
        ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main");
    private static final ProcessLauncher DEFECTIVE_LAUNCHER =
        ProcessLauncher.ofCurrentProgram(DefectiveAgent.class.getName());

    @Override
    public RunningRouter launch(LaunchOptions options) throws IOException {
      return CORRECT_LAUNCHER.launch(options);
    }

    @Override
    public List<String> command(List<String> arguments) {
      if (arguments.size() < 2 || !arguments.get(1).equals("agent")) {
        return CORRECT_LAUNCHER.command(arguments);
      }
      List<String> defectiveArguments = new ArrayList<>(List.of(defect.name()));
      defectiveArguments.addAll(arguments);
      return DEFECTIVE_LAUNCHER.command(defectiveArguments);
    }

    @Override
    public boolean supportsRestart() {
      return true;
    }
  }
}
