package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the {@code rehearse} command. Refers only to the runners of rehearsals, so that other
 * commands load no classes of the test kit.
 */
@Parameters(
    commandNames = "rehearse",
    commandDescription =
        "play a scenario against routers on loopback;"
            + " example: rehearse examples/rehearsals/stall.toml --seed 3;"
            + " status 0: all rules held, 3: one was broken, 1: it could not be played")
final class RehearseCommand implements Command {
  private static final int EXIT_USAGE = 2;
  private static final int MAX_ROUTERS = 40;

  @Parameter(description = "SCENARIO.toml")
  private List<String> scenarios = new ArrayList<>();

  @Parameter(
      names = "--seed",
      description = "the seed of all chance, in place of the scenario's own")
  private Long seed;

  @Parameter(
      names = "--router",
      description =
          "a jar whose routers are rehearsed, or 'embedded' for"
              + " routers inside this process (no router faults then); this program's own"
              + " where not given")
  private String router;

  @Parameter(names = "--json", description = "a file for the report as JSON")
  private String jsonFile;

  @Parameter(
      names = "--html",
      description =
          "a file for the report as a page, with a picture of what was"
              + " served beside what was out")
  private String htmlFile;

  @Parameter(names = "--keep-logs", description = "an empty folder for configurations and logs")
  private String logsDirectory;

  @Parameter(
      names = "--explain",
      description = "print the whole scenario with its defaults, play nothing")
  private boolean explain;

  @Parameter(
      names = "--storms",
      description =
          "play so many scenarios made of chance instead, a search;"
              + " those that break a rule are kept in a folder each below --keep-logs;"
              + " --seed is the first one's")
  private int stormCount;

  @Parameter(
      names = "--of",
      description = "what storms are about: versions, releases, places or" + " clients")
  private String stormKind = "versions";

  @Parameter(names = "--routers", description = "how many routers a storm has")
  private int routers = 3;

  @Parameter(names = "--at-once", description = "how many storms are played beside each other")
  private int parallelStorms = 2;

  @Parameter(names = "--list", description = "name the scenarios under examples/rehearsals")
  private boolean listScenarios;

  @Override
  public int execute() {
    if (stormCount > 0 && scenarios.isEmpty() && !listScenarios) {
      if (routers < 1 || routers > MAX_ROUTERS || parallelStorms < 1) {
        System.err.println(
            "rehearse: --routers must be from 1 to " + MAX_ROUTERS + ", --at-once at least 1");
        return EXIT_USAGE;
      }
      if (!List.of("versions", "releases", "places", "clients").contains(stormKind)) {
        System.err.println("rehearse: --of must be versions, releases, places or clients");
        return EXIT_USAGE;
      }
      return RandomSearchRunner.of(
              stormKind,
              stormCount,
              seed == null ? 1 : seed,
              routers,
              parallelStorms,
              logsDirectory,
              router)
          .run();
    }
    if (!listScenarios && scenarios.size() != 1) {
      System.err.println("rehearse: exactly one scenario, --list or --storms is required");
      return EXIT_USAGE;
    }
    return new RehearseRunner(
            listScenarios ? null : scenarios.get(0),
            seed,
            router,
            jsonFile,
            htmlFile,
            logsDirectory,
            explain)
        .run();
  }
}
