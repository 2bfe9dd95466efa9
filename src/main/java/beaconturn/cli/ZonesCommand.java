package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * The options of the orders to places; it names no class of theirs but the one that carries them
 * out.
 */
@Parameters(
    commandNames = "zones",
    commandDescription =
        "to which zones keys go, decided in common: show, history, drain ZONE, hold ZONE,"
            + " weight ZONE, free ZONE; example: zones drain east --reason power --for 600"
            + " --features router.toml;"
            + " status 0: done, 1: wrong input or the store does not answer, 3: not now")
final class ZonesCommand implements Command {
  private static final List<String> WITH_ZONE = List.of("drain", "hold", "weight", "free");

  @Parameter(description = "ORDER [ZONE]")
  private List<String> words = new ArrayList<>();

  @Parameter(names = "--features", description = "the operators' file with the [zones] section")
  private String features = "deploy/router.toml";

  @Parameter(names = "--reason", description = "why, for who looks later")
  private String reason = "";

  @Parameter(names = "--author", description = "who; the user where not given")
  private String author = System.getProperty("user.name");

  @Parameter(
      names = "--for",
      description = "after so many seconds the order ends by itself; 0: never")
  private int seconds;

  @Parameter(names = "--near", description = "weight: so many of 1000 keys at most stay near")
  private int near = 1000;

  @Override
  public int execute() {
    String order = words.isEmpty() ? "" : words.get(0);
    boolean withZone = WITH_ZONE.contains(order);
    if (words.size() != (withZone ? 2 : 1) || near < 0 || near > 1000 || seconds < 0) {
      System.err.println("zones: see 'zones --help'");
      return 2;
    }
    if (withZone && !order.equals("free") && reason.isBlank()) {
      System.err.println("zones " + order + ": --reason is missing");
      return 2;
    }
    return new ZonesRunner(features, reason, author, seconds, near)
        .run(order, words.get(words.size() - 1));
  }
}
