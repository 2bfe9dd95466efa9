package beaconturn.rehearsal;

import beaconturn.standin.Fault;
import beaconturn.standin.RandomSources;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.sampling.ListSampler;

/** The reader of a scenario's faults. */
final class FaultSectionReader {
  private static final long MILLI_NANOS = 1_000_000;
  private static final long SECOND_NANOS = 1000 * MILLI_NANOS;
  private static final List<String> KIND_WORDS =
      Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList();
  private final ScenarioOutline outline;
  private final long seed;

  /** A reader that chooses the targets of shares by the seed. */
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
    long fromNanos = section.durationNanos("from", after == null ? 5 * SECOND_NANOS : 0, 0);
    long toNanos =
        until == null ? outline.readEnd(section, fromNanos) : section.durationNanos("to", 0, 0);
    List<String> candidates = candidates(kind.target());
    List<String> target =
        candidates.isEmpty() ? List.of() : readTarget(section, candidates, targetSeed);
    String way = kind.target() == Fault.Target.LINK ? section.choice("way", "store", ways()) : "";
    return new Scenario.FaultSpec(
        kind, target, readAmount(section, kind), fromNanos, toNanos, way, after, until);
  }

  /** Returns the names of what a fault of that kind can happen to; none where there is only one. */
  private List<String> candidates(Fault.Target target) {
    return switch (target) {
      case CACHE -> outline.fleet().names();
      case ROUTER, LINK -> outline.routerNames();
      case AGENT -> instancesWithAgents();
      case SITE -> outline.fleet().places();
      default -> List.of();
    };
  }

  private List<String> instancesWithAgents() {
    List<String> names = new ArrayList<>(outline.routerNames());
    names.addAll(outline.fleet().names());
    names.add(ScenarioReader.DRIVER);
    return names;
  }

  private List<String> ways() {
    List<String> ways = new ArrayList<>(List.of("store", "discovery", "caches"));
    ways.addAll(outline.fleet().places());
    return ways;
  }

  /** Returns the named targets, or a share of all chosen by the seed, or the first one. */
  private static List<String> readTarget(TomlSection section, List<String> names, long seed)
      throws TomlException {
    List<String> on = section.texts("on", List.of());
    for (String name : on) {
      if (!names.contains(name)) {
        throw section.invalid(
            "on", "there is no '" + name + "', there are " + String.join(", ", names));
      }
    }
    if (section.has("share") && section.has("on")) {
      throw section.invalid("share", "given beside on, allowed is one of them");
    }
    if (section.has("share")) {
      int count =
          (int) Math.max(1, Math.round(names.size() * section.number("share", 1, 0.001, 1)));
      List<String> mixed = new ArrayList<>(names);
      ListSampler.shuffle(new RandomSources(seed).of("share"), mixed);
      return mixed.subList(0, count).stream().sorted().toList();
    }
    return on.isEmpty() ? names.subList(0, 1) : on;
  }

  /** Returns the factor, the part or the nanoseconds that the kind goes by. */
  private static double readAmount(TomlSection section, Fault.Kind kind) throws TomlException {
    return switch (kind) {
      case SLOW, ORIGIN_SLOW -> section.number("factor", 5, 0.01, 10_000);
      case ERRORS, SPOIL, RESET -> section.number("part", 0.5, 0.001, 1);
      case DRAIN_LATE -> section.durationNanos("delay", 3 * SECOND_NANOS, 0);
      case DISCOVERY_SLOW -> section.durationNanos("delay", 2 * SECOND_NANOS, 0);
      case DISCOVERY_BACK -> section.durationNanos("delay", 10 * SECOND_NANOS, 0);
      case LINK_SLOW -> section.durationNanos("delay", 500 * MILLI_NANOS, 0);
      case LINK_THROTTLE -> section.integer("bytes_per_second", 2000, 1, 1_000_000_000);
      case STORE_SLOW -> section.durationNanos("delay", 3 * SECOND_NANOS, 0);
      case STORE_BACK -> section.integer("revisions", 1, 1, 1000);
      default -> 1;
    };
  }
}
