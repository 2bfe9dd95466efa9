package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * The command for releases and its options. It refers to no class of releases but those that run
 * its orders, so that the router is served without them.
 */
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
  /** Exit status: wrong usage. */
  private static final int USAGE = 2;

  private static final List<String> WITH_ARGUMENT =
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
    int wanted = WITH_ARGUMENT.contains(order) ? 2 : 1;
    if (words.size() != wanted) {
      System.err.println("release: see 'release --help'");
      return USAGE;
    }
    if (WITH_REASON.contains(order) && reason.isBlank()) {
      System.err.println("release " + order + ": --reason is missing");
      return USAGE;
    }
    String argument = words.get(wanted - 1);
    if (order.equals("agent")) {
      return runAgent(argument);
    }
    return new ReleaseRunner(features, reason, author, kind, wait, json).run(order, argument);
  }

  private int runAgent(String instanceId) {
    if (apply.isBlank()) {
      System.err.println("release agent: --apply is missing");
      return USAGE;
    }
    InstanceMetricsReader metricsReader = null;
    if (!figures.isEmpty()) {
      List<String> addresses = List.of(figures.split(","));
      metricsReader = new InstanceMetricsReader(instanceId, kind.equals("cache"), addresses);
    }
    return new AgentRunner(features, instanceId, apply, metricsReader).run();
  }
}
