package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.standin.Fault;
import beaconturn.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading, printing and generating scenarios, and the schedule of their requests. */
class ScenarioReaderTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static Scenario read(String text) throws TomlException {
    return ScenarioReader.read("s.toml", text, null);
  }

  @Test
  void sameSeedGeneratesSameRandomScenario() throws TomlException {
    Set<String> generated = new HashSet<>();
    for (long seed = 1; seed <= 100; seed++) {
      for (RandomScenario.Kind kind : RandomScenario.Kind.values()) {
        assertEquals(
            RandomScenario.generateText(kind, seed, 5), RandomScenario.generateText(kind, seed, 5));
        int routerCount = RandomScenario.generate(kind, seed, 5).routers().size();
        // Scenarios about clients draw the number of routers themselves.
        assertTrue(
            kind == RandomScenario.Kind.CLIENTS
                ? routerCount >= 3 && routerCount <= 6
                : routerCount == 5);
      }
      RandomScenario.generate(RandomScenario.Kind.CLIENTS, seed, 5)
          .faults()
          .forEach(fault -> generated.add("of clients " + fault.kind().word()));
      Scenario releaseScenario = RandomScenario.generate(RandomScenario.Kind.RELEASES, seed, 5);
      releaseScenario.faults().forEach(fault -> generated.add("of release " + fault.kind().word()));
      releaseScenario.operatorCommands().forEach(spec -> generated.add(spec.command()));
      Scenario versionScenario = RandomScenario.generate(RandomScenario.Kind.VERSIONS, seed, 5);
      assertConsecutiveVersionsExcludeDisjointServers(versionScenario);
      versionScenario.faults().forEach(fault -> generated.add(fault.kind().word()));
      RandomScenario.generate(RandomScenario.Kind.PLACES, seed, 5)
          .faults()
          .forEach(
              fault ->
                  generated.add(
                      "of places " + fault.kind().word() + " " + fault.linkDestination()));
    }
    assertTrue(
        generated.containsAll(
            List.of(
                "of clients router-reload",
                "of clients router-term",
                "of clients router-kill",
                "of clients router-pause",
                "of clients drain",
                "of clients discovery-out")),
        generated.toString());
    assertTrue(
        generated.containsAll(
            List.of(
                "link-cut",
                "site-cut",
                "store-empty",
                "router-pause",
                "of places unlist ",
                "of places kill ",
                "of places answer-lost south",
                "of release agent-kill",
                "of release store-back",
                "drain",
                "budget",
                "halt",
                "back")),
        generated.toString());
  }

  /** Versions that exclude disjoint sets of servers contradict each other. */
  private static void assertConsecutiveVersionsExcludeDisjointServers(Scenario scenario) {
    for (int i = 1; i < scenario.versions().size(); i++) {
      assertTrue(
          scenario.versions().get(i - 1).excludedServers().stream()
              .noneMatch(scenario.versions().get(i).excludedServers()::contains));
    }
  }

  @Test
  void emptyFileYieldsDefaultScenario() throws TomlException {
    Scenario scenario = read("");
    assertEquals(20 * NANOS_PER_SECOND, scenario.lengthNanos());
    assertEquals(6, scenario.fleet().cacheServerCount());
    assertEquals(
        List.of("r1", "r2"), scenario.routers().stream().map(Scenario.RouterSpec::name).toList());
    assertEquals(
        Set.of(Scenario.Effect.values()),
        new HashSet<>(
            scenario.requestClasses().stream().map(Scenario.RequestClass::effect).toList()));
    assertEquals(1, scenario.clientStreams().size());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "length = 5 | s.toml:1: length: not a time, write for example \"1.5s\" or \"300ms\"",
        "length = \"-5s\" | s.toml:1: length: not a time, write for example \"1.5s\" or \"300ms\"",
        "[fleet];caches = 0 | s.toml:2: fleet.caches: out of range, allowed is 1 to 200",
        "[fleet];cashes = 3 | s.toml:2: fleet.cashes: unknown key",
        "[fleet];report = [\"load\"] | s.toml:2: fleet.report: unknown 'load', allowed",
        "[[class]];deadline = \"100ms\" | s.toml:2: class[0].deadline: before the aim, allowed",
        "[[class]];name = \"a\";[[class]];name = \"a\" | s.toml:4: class[1].name: 'a' is"
            + " taken or odd",
        "[[clients]];classes = [\"x\"] | s.toml:2: clients[0].classes: no class 'x', there are",
        "[[fault]];kind = \"flood\" | s.toml:2: fault[0].kind: unknown 'flood', allowed are",
        "[[fault]];kind = \"stall\";on = [\"c9\"] | s.toml:3: fault[0].on: there is no"
            + " 'c9', there are",
        "[[fault]];kind = \"stall\";from = \"9s\";to = \"8s\" | s.toml:4: fault[0].to: ends before",
        "[[fault]];kind = \"stall\";to = \"21s\" | s.toml:3: fault[0].to: after the end,"
            + " allowed is up to",
        "[[fault]];kind = \"stall\";share = 0.5;on = [\"c1\"] | s.toml:3: fault[0].share:"
            + " given beside on",
        "[[fault]];kind = \"router-kill\";on = [\"r3\"] | s.toml:3: fault[0].on: there is no 'r3'",
        "[[router]];count = 2;name = \"a\" | s.toml:3: router[0].name: given beside count,"
            + " allowed is",
        "[[router]];clock_fast = \"1s\";clock_slow = \"1s\" | s.toml:3:"
            + " router[0].clock_slow: given beside",
        "[agreement];[[version]];[[fault]];kind = \"link-cut\";after = \"dawn\" | s.toml:5:"
            + " fault[0].after:"
            + " 'dawn' is no cue, such as 'version 1 proposed'",
        "[agreement];[[version]];[[fault]];kind = \"link-cut\";after = \"version 2"
            + " settled\" | s.toml:5:"
            + " fault[0].after: version 2 is not among the 1 that are proposed",
        "[agreement];[[version]];after = \"r9 says yes to version 1\" | s.toml:3: version[0].after:"
            + " there is no router 'r9'"
      })
  void reportsInvalidValueInOneLineWithFileLineAndKey(String text, String expectedStart) {
    TomlException exception =
        assertThrows(TomlException.class, () -> read(text.replace(';', '\n')));
    assertTrue(exception.getMessage().startsWith(expectedStart), exception.getMessage());
    assertEquals(1, exception.getMessage().lines().count());
  }

  @Test
  void explanationOfShippedScenarioReadsBackEqual() throws TomlException, IOException {
    List<Path> files = ShippedScenarios.files(Path.of("examples", "rehearsals"));
    Set<Fault.Kind> coveredKinds = new HashSet<>();
    for (Path file : files) {
      Scenario scenario = ScenarioReader.read(file.toString(), Files.readString(file), null);
      assertTrue(Files.readString(file).startsWith("#"), file + " has no comment on what it shows");
      assertEquals(scenario, read(ShippedScenarios.explain(scenario)), file.toString());
      scenario.faults().forEach(fault -> coveredKinds.add(fault.kind()));
    }
    assertTrue(files.size() >= 12);
    assertEquals(
        Set.of(),
        Arrays.stream(Fault.Kind.values())
            .filter(kind -> !coveredKinds.contains(kind))
            .collect(java.util.stream.Collectors.toSet()),
        "fault kinds that no shipped scenario contains");
  }

  @Test
  void seedSelectsTargetsOfFaultWithShare() throws TomlException {
    String text = "[fleet]\ncaches = 40\n[[fault]]\nkind = \"slow\"\nshare = 0.25\n";
    List<String> targets = ScenarioReader.read("s", text, 1L).faults().get(0).targets();
    assertEquals(10, targets.size());
    assertEquals(targets, ScenarioReader.read("s", text, 1L).faults().get(0).targets());
    assertNotEquals(targets, ScenarioReader.read("s", text, 2L).faults().get(0).targets());
  }

  @Test
  void sameSeedSchedulesSameRequests() throws TomlException {
    Scenario scenario = read("length = \"10s\"");
    List<ScheduledRequest> schedule = RequestSchedule.of(scenario);
    assertEquals(schedule, RequestSchedule.of(scenario));
    assertNotEquals(schedule, RequestSchedule.of(ScenarioReader.read("s", "length = \"10s\"", 2L)));
    assertTrue(
        Math.abs(schedule.size() - 1000) < 150,
        schedule.size() + " requests where 1000 are expected");
    long previousNanos = 0;
    for (ScheduledRequest request : schedule) {
      assertTrue(request.atNanos() >= previousNanos && request.atNanos() < 10 * NANOS_PER_SECOND);
      previousNanos = request.atNanos();
    }
  }

  @Test
  void streamsSendOnlyTheirClassesWithinTheirPeriod() throws TomlException {
    List<ScheduledRequest> schedule =
        RequestSchedule.of(
            read(
                "[[clients]]\nclasses = [\"level\"]\nto = \"5s\"\n"
                    + "[[clients]]\nclasses = [\"alert-ack\"]\nfrom = \"6s\"\nto = \"8s\"\n"));
    assertTrue(
        schedule.stream()
            .allMatch(
                request ->
                    request.requestClass().name().equals("level")
                        ? request.atNanos() < 5 * NANOS_PER_SECOND
                        : request.atNanos() >= 6 * NANOS_PER_SECOND
                            && request.atNanos() < 8 * NANOS_PER_SECOND));
    assertEquals(
        2, schedule.stream().map(request -> request.requestClass().name()).distinct().count());
  }

  /** A site that is listed twice has twice as many cache servers as one that is listed once. */
  @Test
  void readsSitesOfUnequalSizeAndSeveralRegions() throws TomlException {
    String text =
        """
            [fleet]
            caches = 6
            sites = ["east", "east", "west"]
            [agreement]
            [zones]
            regions = ["one", "two"]
            [[router]]
            site = "west"
            [[clients]]
            site = "west"
            """;
    Scenario scenario = read(text);
    assertEquals(
        List.of("c1", "c2", "c4", "c5"),
        scenario.fleet().cacheServerNames().stream()
            .filter(server -> scenario.siteOf(server).equals("east"))
            .toList());
    assertEquals(List.of("east", "west"), scenario.fleet().distinctSites());
    assertEquals("west", scenario.clientStreams().get(0).site());
    assertEquals(
        "s.toml:10: clients[0].site: no router stands in 'east', they stand in west",
        assertThrows(
                TomlException.class,
                () ->
                    read(
                        text.replace(
                            "[[clients]]\nsite = \"west\"", "[[clients]]\nsite = \"east\"")))
            .getMessage());
    assertEquals(
        "s.toml:6: zones.regions: 1 of them, allowed is one for each of the sites east, west",
        assertThrows(TomlException.class, () -> read(text.replace(", \"two\"", ""))).getMessage());
    assertEquals(scenario, read(ShippedScenarios.explain(scenario)));
  }
}
