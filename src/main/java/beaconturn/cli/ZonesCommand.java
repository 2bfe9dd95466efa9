package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the {@code zones} command. Refers only to {@link ZonesRunner}, so that other commands load
 * no classes of the zones.
 */
@Parameters(
    commandNames = "zones",
    commandDescription =
        "to which zones keys go, decided in common: show, history, drain ZONE, hold ZONE,"
            + " weight ZONE, free ZONE; example: zones drain east --reason power --for 600"
            + " --features router.toml;"
            + " status 0: done, 1: wrong input or the store does not answer, 3: not now")
final class ZonesCommand implements Command {
  private static final int EXIT_USAGE = 2;

  /** Weight of all keys of a zone, in thousandths. */
  private static final int MAX_WEIGHT = 1000;

  private static final List<String> OPERATIONS_WITH_ZONE =
      List.of("drain", "hold", "weight", "free");

  @Parameter(description = "ORDER [ZONE]")
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--features", description = "the operators' file with the [zones] section")
  private String featuresFile = "deploy/router.toml";

  @Parameter(names = "--reason", description = "why, for who looks later")
  private String reason = "";

  @Parameter(names = "--author", description = "who; the user where not given")
  private String author = System.getProperty("user.name");

  @Parameter(
      names = "--for",
      description = "after so many seconds the order ends by itself; 0: never")
  private int durationSeconds;

  @Parameter(names = "--near", description = "weight: so many of 1000 keys at most stay near")
  private int nearWeight = MAX_WEIGHT;

  @Override
  public int execute() {
    String operation = arguments.isEmpty() ? "" : arguments.get(0);
    boolean zoneRequired = OPERATIONS_WITH_ZONE.contains(operation);
    if (arguments.size() != (zoneRequired ? 2 : 1)
        || nearWeight < 0
        || nearWeight > MAX_WEIGHT
        || durationSeconds < 0) {
      System.err.println("zones: wrong arguments, see 'zones --help'");
      return EXIT_USAGE;
    }
    if (zoneRequired && !operation.equals("free") && reason.isBlank()) {
      System.err.println("zones " + operation + ": --reason is missing");
      return EXIT_USAGE;
    }
    return new ZonesRunner(featuresFile, reason, author, durationSeconds, nearWeight)
        .run(operation, arguments.get(arguments.size() - 1));
  }
}
