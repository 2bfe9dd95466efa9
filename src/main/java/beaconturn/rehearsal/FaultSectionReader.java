package beaconturn.rehearsal;

import beaconturn.standin.Fault;
import beaconturn.standin.RandomSources;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.sampling.ListSampler;

/** Reads the faults of a scenario. */
final class FaultSectionReader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final List<String> KIND_WORDS =
      Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList();
  private final ScenarioOutline outline;
  private final long seed;

  /** Creates a reader; the seed selects the targets of faults that affect a share of them. */
  FaultSectionReader(ScenarioOutline outline, long seed) {
    this.outline = outline;
    this.seed = seed;
  }

  /** Reads the tables {@code [[fault]]}. */
  List<Scenario.FaultSpec> readFaults(TomlSection file) throws TomlException {
    List<Scenario.FaultSpec> faults = new ArrayList<>();
    for (TomlSection section : file.tables("fault")) {
      faults.add(readFault(section, seed + faults.size()));
    }
    return List.copyOf(faults);
  }

  private Scenario.FaultSpec readFault(TomlSection section, long targetSeed) throws TomlException {
    String word = section.choice("kind", "", KIND_WORDS);
    Fault.Kind kind = Fault.Kind.values()[KIND_WORDS.indexOf(word)];
    Trigger after = outline.readTrigger(section, "after");
    Trigger until = outline.readTrigger(section, "until");
    long fromNanos = section.durationNanos("from", after == null ? 5 * NANOS_PER_SECOND : 0, 0);
    long toNanos =
        until == null ? outline.readEnd(section, fromNanos) : section.durationNanos("to", 0, 0);
    List<String> candidates = candidates(kind.target());
    List<String> targets =
        candidates.isEmpty() ? List.of() : readTargets(section, candidates, targetSeed);
    String linkDestination =
        kind.target() == Fault.Target.LINK
            ? section.choice("way", "store", linkDestinations())
            : "";
    return new Scenario.FaultSpec(
        kind,
        targets,
        readAmount(section, kind),
        fromNanos,
        toNanos,
        linkDestination,
        after,
        until);
  }

  /** Returns the names that a fault may affect; none if there is only one target of that type. */
  private List<String> candidates(Fault.Target target) {
    return switch (target) {
      case CACHE -> outline.fleet().cacheServerNames();
      case ROUTER, LINK -> outline.routerNames();
      case AGENT -> instancesWithAgents();
      case SITE -> outline.fleet().distinctSites();
      default -> List.of();
    };
  }

  private List<String> instancesWithAgents() {
    List<String> names = new ArrayList<>(outline.routerNames());
    names.addAll(outline.fleet().cacheServerNames());
    names.add(ScenarioReader.DRIVER);
    return names;
  }

  private List<String> linkDestinations() {
    List<String> destinations = new ArrayList<>(List.of("store", "discovery", "caches"));
    destinations.addAll(outline.fleet().distinctSites());
    return destinations;
  }

  /** Returns the named targets, or a random share of the candidates, or the first candidate. */
  private static List<String> readTargets(TomlSection section, List<String> candidates, long seed)
      throws TomlException {
    List<String> named = section.texts("on", List.of());
    for (String name : named) {
      if (!candidates.contains(name)) {
        throw section.invalid(
            "on", "there is no '" + name + "', there are " + String.join(", ", candidates));
      }
    }
    if (section.has("share") && section.has("on")) {
      throw section.invalid("share", "given beside on, allowed is one of them");
    }
    if (section.has("share")) {
      int count =
          (int) Math.max(1, Math.round(candidates.size() * section.number("share", 1, 0.001, 1)));
      List<String> shuffled = new ArrayList<>(candidates);
      ListSampler.shuffle(new RandomSources(seed).of("share"), shuffled);
      return shuffled.subList(0, count).stream().sorted().toList();
    }
    return named.isEmpty() ? candidates.subList(0, 1) : named;
  }

  /** Returns the factor, share, delay in nanoseconds, or number that the kind takes. */
  private static double readAmount(TomlSection section, Fault.Kind kind) throws TomlException {
    return switch (kind) {
      case SLOW, ORIGIN_SLOW -> section.number("factor", 5, 0.01, 10_000);
      case ERRORS, SPOIL, RESET -> section.number("part", 0.5, 0.001, 1);
      case DRAIN_LATE -> section.durationNanos("delay", 3 * NANOS_PER_SECOND, 0);
      case DISCOVERY_SLOW -> section.durationNanos("delay", 2 * NANOS_PER_SECOND, 0);
      case DISCOVERY_BACK -> section.durationNanos("delay", 10 * NANOS_PER_SECOND, 0);
      case LINK_SLOW -> section.durationNanos("delay", 500 * NANOS_PER_MILLI, 0);
      case LINK_THROTTLE -> section.integer("bytes_per_second", 2000, 1, 1_000_000_000);
      case STORE_SLOW -> section.durationNanos("delay", 3 * NANOS_PER_SECOND, 0);
      case STORE_BACK -> section.integer("revisions", 1, 1, 1000);
      default -> 1;
    };
  }
}
