package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The options of the orders to releases; it names no class of releases but those that run them. */
@Parameters(
    commandNames = "release",
    commandDescription =
        "releases and drains over a whole fleet: fleet FILE,"
            + " plan PLAN, start PLAN, halt, resume, back, abandon, drain CACHE, undrain"
            + " CACHE, lost PART, show,"
            + " history, report FILE (HTML), agent PART;"
            + " example: release start plan.toml --reason \"build 41\" --features router.toml;"
            + " status 0: done, 1: wrong input or the store does not answer, 3: not now")
final class ReleaseCommand implements Command {
  private static final List<String> WITH_WORD =
      List.of("fleet", "plan", "start", "drain", "undrain", "lost", "report", "agent");
  private static final List<String> WITH_REASON =
      List.of("start", "halt", "resume", "back", "abandon", "drain", "undrain", "lost");

  @Parameter(description = "ORDER [FILE or PART]")
  private List<String> words = new ArrayList<>();

  @Parameter(names = "--features", description = "the operators' file with the [agreement] section")
  private String features = "deploy/router.toml";

  @Parameter(names = "--reason", description = "why, for the history")
  private String reason = "";

  @Parameter(names = "--author", description = "who, for the history; the user where not given")
  private String author = System.getProperty("user.name");

  @Parameter(
      names = "--kind",
      description = "of a part that is lost, or of the agent's: router or cache")
  private String kind = "router";

  @Parameter(
      names = "--wait",
      description = "how many seconds a drain waits until nobody sends there")
  private int wait = 30;

  @Parameter(names = "--json", description = "print JSON")
  private boolean json;

  @Parameter(
      names = "--apply",
      description =
          "agent: the shell command that has the part run a variant and waits"
              + " until it is ready; it finds PART and VARIANT (old or new) in its"
              + " environment, and does nothing"
              + " where the part runs that variant already")
  private String apply = "";

  @Parameter(
      names = "--figures",
      description =
          "agent: the router's second address; of a cache server those of the routers that use"
              + " it, with commas between")
  private String figures = "";

  @Override
  public int execute() {
    String order = words.isEmpty() ? "" : words.get(0);
    int wanted = WITH_WORD.contains(order) ? 2 : 1;
    if (words.size() != wanted) {
      System.err.println("release: see 'release --help'");
      return 2;
    }
    if (WITH_REASON.contains(order) && reason.isBlank()) {
      System.err.println("release " + order + ": --reason is missing");
      return 2;
    }
    if (order.equals("agent")) {
      if (apply.isBlank()) {
        System.err.println("release agent: --apply is missing");
        return 2;
      }
      return new AgentRunner(
              features,
              words.get(1),
              apply,
              figures.isEmpty()
                  ? null
                  : new InstanceMetricsReader(
                      words.get(1), kind.equals("cache"), List.of(figures.split(","))))
          .run();
    }
    return new ReleaseRunner(features, reason, author, kind, wait, json)
        .run(order, words.get(wanted - 1));
  }
}
