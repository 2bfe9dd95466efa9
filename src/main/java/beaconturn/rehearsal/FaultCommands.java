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
 * Executes the commands by which an operator injects faults into stand-ins: {@code KIND
 * [SERVER|all] [AMOUNT] [in TIME] [for TIME]}, {@code heal SERVER|all}, {@code status}, {@code
 * help}. Runs on the stand-ins' thread.
 */
public final class FaultCommands {
  private static final String HELP =
      "KIND [SERVER|all] [AMOUNT] [in TIME] [for TIME], heal SERVER|all,"
          + " status, help; kinds: "
          + kinds()
          + "; for example: stall c3 for 5s, slow c1 8, drain c2 in 4s, errors all 0.5";
  private static final long DEFAULT_DELAY_NANOS = 3_000_000_000L;
  private final EmulatedFleet fleet;

  /** Creates an executor of commands to these stand-ins. */
  public FaultCommands(EmulatedFleet fleet) {
    this.fleet = fleet;
  }

  private static String kinds() {
    return Arrays.stream(Fault.Kind.values())
        .filter(FaultCommands::appliesToStandIns)
        .map(Fault.Kind::word)
        .collect(Collectors.joining(" "));
  }

  private static boolean appliesToStandIns(Fault.Kind kind) {
    return kind.target() != Fault.Target.ROUTER && !kind.needsAgreement();
  }

  /** Executes a command and returns its result or error, in one line or more for a status. */
  public String run(String line) {
    List<String> words = new ArrayList<>(List.of(line.trim().split("\\s+")));
    String command = words.remove(0);
    try {
      return switch (command) {
        case "" -> "";
        case "help" -> HELP;
        case "status" -> status();
        case "heal" -> heal(words);
        default -> fault(command, words);
      };
    } catch (IllegalArgumentException e) {
      return "error: " + e.getMessage();
    }
  }

  private String heal(List<String> words) {
    if (words.equals(List.of("all"))) {
      fleet.recoverAll();
      return "ok: all is well";
    }
    takeServers(words, "heal").forEach(fleet::recover);
    return "ok: healed";
  }

  private String fault(String command, List<String> words) {
    Fault.Kind kind =
        Arrays.stream(Fault.Kind.values())
            .filter(candidate -> candidate.word().equals(command) && appliesToStandIns(candidate))
            .findFirst()
            .orElseThrow(
                () -> new IllegalArgumentException("unknown order '" + command + "', see help"));
    long durationNanos = takeTimeNanos(words, "for");
    long delayNanos = takeTimeNanos(words, "in");
    List<Integer> servers =
        kind.target() == Fault.Target.CACHE ? takeServers(words, command) : List.of();
    double amount = takeAmount(kind, words);
    if (!words.isEmpty()) {
      throw new IllegalArgumentException("not understood: '" + String.join(" ", words) + "'");
    }
    fleet.scheduler().in(Math.max(0, delayNanos), () -> begin(kind, servers, amount));
    if (durationNanos >= 0) {
      fleet.scheduler().in(Math.max(0, delayNanos) + durationNanos, () -> end(kind, servers));
    }
    return "ok: "
        + command
        + (servers.isEmpty() ? "" : " at " + servers.size() + " cache servers")
        + (delayNanos > 0 ? " in " + delayNanos / 1_000_000 + " ms" : "")
        + (durationNanos >= 0 ? " for " + durationNanos / 1_000_000 + " ms" : "");
  }

  private void begin(Fault.Kind kind, List<Integer> servers, double amount) {
    if (kind.target() != Fault.Target.CACHE) {
      fleet.startFault(kind, amount);
    }
    servers.forEach(server -> fleet.startFault(kind, server, amount));
  }

  private void end(Fault.Kind kind, List<Integer> servers) {
    if (kind.target() != Fault.Target.CACHE) {
      fleet.endFault(kind);
    }
    servers.forEach(server -> fleet.endFault(kind, server));
  }

  /** Removes the first word and returns the indexes of the servers that it names. */
  private List<Integer> takeServers(List<String> words, String command) {
    if (words.isEmpty()) {
      throw new IllegalArgumentException(command + " needs a cache server, or all");
    }
    String name = words.remove(0);
    List<Integer> servers = new ArrayList<>();
    for (int server = 0; server < fleet.serverCount(); server++) {
      if (name.equals("all") || fleet.server(server).listing().host().equals(name)) {
        servers.add(server);
      }
    }
    if (servers.isEmpty()) {
      throw new IllegalArgumentException("there is no cache server '" + name + "'");
    }
    return servers;
  }

  /** Removes the word and the time behind it and returns the time; negative without the word. */
  private static long takeTimeNanos(List<String> words, String word) {
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

  /** Removes and returns the amount of the fault's kind, or its default if no word is left. */
  private static double takeAmount(Fault.Kind kind, List<String> words) {
    String word = words.isEmpty() ? "" : words.remove(0);
    return switch (kind) {
      case SLOW, ORIGIN_SLOW -> parseNumber(word, 5, 0.01, 10_000);
      case ERRORS, SPOIL, RESET -> parseNumber(word, 0.5, 0.001, 1);
      case DRAIN_LATE, DISCOVERY_SLOW, DISCOVERY_BACK -> parseDelayNanos(word);
      default -> {
        if (!word.isEmpty()) {
          throw new IllegalArgumentException(kind.word() + " takes no amount: '" + word + "'");
        }
        yield 1;
      }
    };
  }

  private static double parseDelayNanos(String word) {
    return word.isEmpty()
        ? DEFAULT_DELAY_NANOS
        : Units.parseDuration(word)
            .orElseThrow(() -> new IllegalArgumentException("'" + word + "' is no time"));
  }

  private static double parseNumber(String word, double defaultValue, double min, double max) {
    if (word.isEmpty()) {
      return defaultValue;
    }
    if (!word.matches("[0-9]+(\\.[0-9]+)?")
        || Double.parseDouble(word) < min
        || Double.parseDouble(word) > max) {
      throw new IllegalArgumentException("'" + word + "' is not from " + min + " to " + max);
    }
    return Double.parseDouble(word);
  }

  private String status() {
    StringBuilder out = new StringBuilder();
    for (int server = 0; server < fleet.serverCount(); server++) {
      CacheServerModel cache = fleet.server(server);
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
            fleet.origin().pending(),
            fleet.origin().overloaded() ? ", fallen over" : "",
            fleet.discovery().version());
  }

  private static String state(CacheServerModel cache) {
    if (cache.dead()) {
      return "dead";
    }
    FaultState faults = cache.faults();
    List<String> words = new ArrayList<>();
    if (faults.slowdown() != 1) {
      words.add("slow " + faults.slowdown());
    }
    addIf(words, faults.stalled(), "stalled");
    addIf(words, faults.draining(), "draining");
    addIf(words, faults.errorShare() > 0, "errors " + faults.errorShare());
    addIf(words, faults.corruptionShare() > 0, "spoils " + faults.corruptionShare());
    addIf(words, faults.resetShare() > 0, "resets " + faults.resetShare());
    addIf(words, faults.vanished(), "vanished");
    addIf(words, faults.unread() && !faults.vanished(), "unread");
    addIf(words, faults.refusing(), "refusing");
    addIf(words, faults.mute(), "mute");
    addIf(words, cache.cold(), "cold");
    return words.isEmpty() ? "well" : String.join(", ", words);
  }

  private static void addIf(List<String> words, boolean condition, String word) {
    if (condition) {
      words.add(word);
    }
  }
}
