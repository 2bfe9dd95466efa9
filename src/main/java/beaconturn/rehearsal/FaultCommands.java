package beaconturn.rehearsal;

import beaconturn.standin.CacheServerModel;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.Fault;
import beaconturn.standin.FaultState;
import beaconturn.toml.Units;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/**
 * Lines by which an operator makes stand-ins fail: {@code KIND [SERVER|all] [AMOUNT] [in TIME] [for
 * TIME]}, {@code heal SERVER|all}, {@code status}, {@code help}. Runs on the model's thread.
 */
public final class FaultCommands {
  private static final String HELP =
      "KIND [SERVER|all] [AMOUNT] [in TIME] [for TIME], heal SERVER|all,"
          + " status, help; kinds: "
          + kinds()
          + "; for example: stall c3 for 5s, slow c1 8, drain c2 in 4s, errors all 0.5";
  private static final long USUAL_DELAY = 3_000_000_000L;
  private final EmulatedFleet world;

  /** Orders to these surroundings. */
  public FaultCommands(EmulatedFleet world) {
    this.world = world;
  }

  private static String kinds() {
    return Arrays.stream(Fault.Kind.values())
        .filter(FaultCommands::ofStandIns)
        .map(Fault.Kind::word)
        .collect(Collectors.joining(" "));
  }

  private static boolean ofStandIns(Fault.Kind kind) {
    return kind.target() != Fault.Target.ROUTER && !kind.needsAgreement();
  }

  /**
   * Carries out a line and says in one line, or a few for a status, what was done or what is wrong.
   */
  public String run(String line) {
    List<String> words = new ArrayList<>(List.of(line.trim().split("\\s+")));
    String order = words.remove(0);
    try {
      return switch (order) {
        case "" -> "";
        case "help" -> HELP;
        case "status" -> status();
        case "heal" -> heal(words);
        default -> fault(order, words);
      };
    } catch (IllegalArgumentException e) {
      return "error: " + e.getMessage();
    }
  }

  private String heal(List<String> words) {
    if (words.equals(List.of("all"))) {
      world.recoverAll();
      return "ok: all is well";
    }
    places(words, "heal").forEach(world::recover);
    return "ok: healed";
  }

  private String fault(String order, List<String> words) {
    Fault.Kind kind =
        Arrays.stream(Fault.Kind.values())
            .filter(k -> k.word().equals(order) && ofStandIns(k))
            .findFirst()
            .orElseThrow(
                () -> new IllegalArgumentException("unknown order '" + order + "', see help"));
    long lasts = time(words, "for");
    long wait = time(words, "in");
    List<Integer> places = kind.target() == Fault.Target.CACHE ? places(words, order) : List.of();
    double amount = amount(kind, words);
    if (!words.isEmpty()) {
      throw new IllegalArgumentException("not understood: '" + String.join(" ", words) + "'");
    }
    world.scheduler().in(Math.max(0, wait), () -> begin(kind, places, amount));
    if (lasts >= 0) {
      world.scheduler().in(Math.max(0, wait) + lasts, () -> end(kind, places));
    }
    return "ok: "
        + order
        + (places.isEmpty() ? "" : " at " + places.size() + " cache servers")
        + (wait > 0 ? " in " + wait / 1_000_000 + " ms" : "")
        + (lasts >= 0 ? " for " + lasts / 1_000_000 + " ms" : "");
  }

  private void begin(Fault.Kind kind, List<Integer> places, double amount) {
    if (kind.target() != Fault.Target.CACHE) {
      world.begin(kind, amount);
    }
    places.forEach(place -> world.begin(kind, place, amount));
  }

  private void end(Fault.Kind kind, List<Integer> places) {
    if (kind.target() != Fault.Target.CACHE) {
      world.end(kind);
    }
    places.forEach(place -> world.end(kind, place));
  }

  /** The places of the server that the first word names, which is taken away. */
  private List<Integer> places(List<String> words, String order) {
    if (words.isEmpty()) {
      throw new IllegalArgumentException(order + " needs a cache server, or all");
    }
    String name = words.remove(0);
    List<Integer> places = new ArrayList<>();
    for (int place = 0; place < world.places(); place++) {
      if (name.equals("all") || world.at(place).listing().host().equals(name)) {
        places.add(place);
      }
    }
    if (places.isEmpty()) {
      throw new IllegalArgumentException("there is no cache server '" + name + "'");
    }
    return places;
  }

  /** The time behind the word, taken away with it; below 0 without it. */
  private static long time(List<String> words, String word) {
    int at = words.indexOf(word);
    if (at < 0) {
      return -1;
    }
    OptionalLong time =
        at + 1 < words.size() ? Units.parseDuration(words.get(at + 1)) : OptionalLong.empty();
    if (time.isEmpty()) {
      throw new IllegalArgumentException(
          "no time behind '" + word + "', for example " + word + " 4s");
    }
    words.subList(at, at + 2).clear();
    return time.getAsLong();
  }

  /** A factor, a part or a time as the kind has it, or its usual one. */
  private static double amount(Fault.Kind kind, List<String> words) {
    String word = words.isEmpty() ? "" : words.remove(0);
    return switch (kind) {
      case SLOW, ORIGIN_SLOW -> number(word, 5, 0.01, 10_000);
      case ERRORS, SPOIL, RESET -> number(word, 0.5, 0.001, 1);
      case DRAIN_LATE, DISCOVERY_SLOW, DISCOVERY_BACK -> delay(word);
      default -> {
        if (!word.isEmpty()) {
          throw new IllegalArgumentException(kind.word() + " takes no amount: '" + word + "'");
        }
        yield 1;
      }
    };
  }

  private static double delay(String word) {
    return word.isEmpty()
        ? USUAL_DELAY
        : Units.parseDuration(word)
            .orElseThrow(() -> new IllegalArgumentException("'" + word + "' is no time"));
  }

  private static double number(String word, double usual, double least, double most) {
    if (word.isEmpty()) {
      return usual;
    }
    if (!word.matches("[0-9]+(\\.[0-9]+)?")
        || Double.parseDouble(word) < least
        || Double.parseDouble(word) > most) {
      throw new IllegalArgumentException("'" + word + "' is not from " + least + " to " + most);
    }
    return Double.parseDouble(word);
  }

  private String status() {
    StringBuilder out = new StringBuilder();
    for (int place = 0; place < world.places(); place++) {
      CacheServerModel cache = world.at(place);
      out.append(
          String.format(
              Locale.ROOT,
              "%-8s %-28s %4d connections %5d held %7d objects%n",
              cache.listing().host(),
              state(cache),
              cache.connections(),
              cache.inFlight(),
              cache.objects()));
    }
    return out
        + String.format(
            Locale.ROOT,
            "origin   %d calls inside%s; list version %d",
            world.origin().pending(),
            world.origin().overloaded() ? ", fallen over" : "",
            world.discovery().version());
  }

  private static String state(CacheServerModel cache) {
    if (cache.dead()) {
      return "dead";
    }
    FaultState c = cache.faults();
    List<String> words = new ArrayList<>();
    if (c.slow() != 1) {
      words.add("slow " + c.slow());
    }
    add(words, c.stalled(), "stalled");
    add(words, c.draining(), "draining");
    add(words, c.errors() > 0, "errors " + c.errors());
    add(words, c.spoils() > 0, "spoils " + c.spoils());
    add(words, c.resets() > 0, "resets " + c.resets());
    add(words, c.vanished(), "vanished");
    add(words, c.unread() && !c.vanished(), "unread");
    add(words, c.refusing(), "refusing");
    add(words, c.mute(), "mute");
    add(words, cache.cold(), "cold");
    return words.isEmpty() ? "well" : String.join(", ", words);
  }

  private static void add(List<String> words, boolean when, String word) {
    if (when) {
      words.add(word);
    }
  }
}
