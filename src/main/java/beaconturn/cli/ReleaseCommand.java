package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the {@code release} command. Refers only to the classes that execute its operations, so
 * that other commands load no classes of releases.
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
  private static final int EXIT_USAGE = 2;

  private static final List<String> WITH_ARGUMENT =
      List.of("fleet", "plan", "start", "drain", "undrain", "lost", "report", "agent");
  private static final List<String> WITH_REASON =
      List.of("start", "halt", "resume", "back", "abandon", "drain", "undrain", "lost");

  @Parameter(description = "ORDER [FILE or PART]")
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--features", description = "the operators' file with the [agreement] section")
  private String featuresFile = "deploy/router.toml";

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
  private int waitSeconds = 30;

  @Parameter(names = "--json", description = "print JSON")
  private boolean json;

  @Parameter(
      names = "--apply",
      description =
          "agent: the shell command that has the part run a variant and waits"
              + " until it is ready; it finds PART and VARIANT (old or new) in its"
              + " environment, and does nothing"
              + " where the part runs that variant already")
  private String applyCommand = "";

  @Parameter(
      names = "--figures",
      description =
          "agent: the router's second address; of a cache server those of the routers that use"
              + " it, with commas between")
  private String adminAddresses = "";

  @Override
  public int execute() {
    String operation = arguments.isEmpty() ? "" : arguments.get(0);
    int expectedArguments = WITH_ARGUMENT.contains(operation) ? 2 : 1;
    if (arguments.size() != expectedArguments) {
      System.err.println("release: wrong number of arguments, see 'release --help'");
      return EXIT_USAGE;
    }
    if (WITH_REASON.contains(operation) && reason.isBlank()) {
      System.err.println("release " + operation + ": --reason is missing");
      return EXIT_USAGE;
    }
    String argument = arguments.get(expectedArguments - 1);
    if (operation.equals("agent")) {
      return runAgent(argument);
    }
    return new ReleaseRunner(featuresFile, reason, author, kind, waitSeconds, json)
        .run(operation, argument);
  }

  private int runAgent(String instanceId) {
    if (applyCommand.isBlank()) {
      System.err.println("release agent: --apply is missing");
      return EXIT_USAGE;
    }
    InstanceMetricsReader metricsReader = null;
    if (!adminAddresses.isEmpty()) {
      List<String> addresses = List.of(adminAddresses.split(","));
      metricsReader = new InstanceMetricsReader(instanceId, kind.equals("cache"), addresses);
    }
    return new AgentRunner(featuresFile, instanceId, applyCommand, metricsReader).run();
  }
}
