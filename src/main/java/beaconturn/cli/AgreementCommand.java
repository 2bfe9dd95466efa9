package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the {@code agreement} command. Refers only to {@link AgreementRunner}, so that other
 * commands load no classes of the agreement.
 */
@Parameters(
    commandNames = "agreement",
    commandDescription =
        "versions of settings and lists on which routers"
            + " agree: init, propose FILE, show, history, back, withdraw, lost ROUTER, explain;"
            + " example: agreement propose out.toml --reason \"c3 is replaced\" --features"
            + " router.toml --wait 20;"
            + " status 0: done, 1: wrong input or the store does not answer, 3: not now, or"
            + " turned down")
final class AgreementCommand implements Command {
  private static final int EXIT_USAGE = 2;

  @Parameter(description = "ORDER [FILE or ROUTER]")
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--features", description = "the operators' file with the [agreement] section")
  private String featuresFile = "deploy/router.toml";

  @Parameter(names = "--reason", description = "why, for the history")
  private String reason;

  @Parameter(names = "--author", description = "who, for the history; the user where not given")
  private String author = System.getProperty("user.name");

  @Parameter(
      names = "--wait",
      description = "how many seconds to wait until it is in force; 0: not at all")
  private int waitSeconds;

  @Parameter(names = "--json", description = "print JSON")
  private boolean json;

  @Override
  public int execute() {
    String operation = arguments.isEmpty() ? "" : arguments.get(0);
    int expectedArguments = operation.equals("propose") || operation.equals("lost") ? 2 : 1;
    boolean reasonRequired =
        operation.equals("propose") || operation.equals("back") || operation.equals("withdraw");
    if (arguments.size() != expectedArguments) {
      System.err.println("agreement: wrong number of arguments, see 'agreement --help'");
      return EXIT_USAGE;
    }
    if (reasonRequired && (reason == null || reason.isBlank())) {
      System.err.println("agreement " + operation + ": --reason is missing");
      return EXIT_USAGE;
    }
    return new AgreementRunner(featuresFile, reason, author, waitSeconds, json)
        .run(operation, arguments.get(expectedArguments - 1));
  }
}
