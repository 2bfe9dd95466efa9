package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * The options of a rehearsal. It names no class of the kit but the one that runs it, so that other
 * commands load none of them.
 */
@Parameters(
    commandNames = "rehearse",
    commandDescription =
        "play a scenario against routers on loopback;"
            + " example: rehearse examples/rehearsals/stall.toml --seed 3;"
            + " status 0: all rules held, 3: one was broken, 1: it could not be played")
final class RehearseCommand implements Command {
  private static final int MOST_ROUTERS = 40;

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
  private String json;

  @Parameter(
      names = "--html",
      description =
          "a file for the report as a page, with a picture of what was"
              + " served beside what was out")
  private String html;

  @Parameter(names = "--keep-logs", description = "an empty folder for configurations and logs")
  private String logs;

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
  private int storms;

  @Parameter(
      names = "--of",
      description = "what storms are about: versions, releases, places or" + " clients")
  private String of = "versions";

  @Parameter(names = "--routers", description = "how many routers a storm has")
  private int routers = 3;

  @Parameter(names = "--at-once", description = "how many storms are played beside each other")
  private int atOnce = 2;

  @Parameter(names = "--list", description = "name the scenarios under examples/rehearsals")
  private boolean list;

  @Override
  public int execute() {
    if (storms > 0 && scenarios.isEmpty() && !list) {
      if (routers < 1 || routers > MOST_ROUTERS || atOnce < 1) {
        System.err.println(
            "rehearse: --routers is from 1 to " + MOST_ROUTERS + ", --at-once from 1 on");
        return 2;
      }
      if (!List.of("versions", "releases", "places", "clients").contains(of)) {
        System.err.println("rehearse: --of is versions, releases, places or clients");
        return 2;
      }
      return RandomSearchRunner.of(
              of, storms, seed == null ? 1 : seed, routers, atOnce, logs, router)
          .run();
    }
    if (!list && scenarios.size() != 1) {
      System.err.println("rehearse: name one scenario, or --list, or --storms");
      return 2;
    }
    return new RehearseRunner(
            list ? null : scenarios.get(0), seed, router, json, html, logs, explain)
        .run();
  }
}
