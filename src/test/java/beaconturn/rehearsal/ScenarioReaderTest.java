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

class ScenarioReaderTest {
  private static final long SECOND = 1_000_000_000L;

  private static Scenario read(String text) throws TomlException {
    return ScenarioReader.read("s.toml", text, null);
  }

  @Test
  void aStormOfASeedIsAlwaysTheSameScenario() throws TomlException {
    Set<String> kinds = new HashSet<>();
    for (long seed = 1; seed <= 100; seed++) {
      for (RandomScenario.Kind about : RandomScenario.Kind.values()) {
        assertEquals(RandomScenario.generateText(about, seed, 5), RandomScenario.generateText(about, seed, 5));
        int routers = RandomScenario.generate(about, seed, 5).routers().size();
        // Storms of clients draw how many routers there are.
        assertTrue(
            about == RandomScenario.Kind.CLIENTS ? routers >= 3 && routers <= 6 : routers == 5);
      }
      RandomScenario.generate(RandomScenario.Kind.CLIENTS, seed, 5)
          .faults()
          .forEach(f -> kinds.add("of clients " + f.kind().word()));
      Scenario release = RandomScenario.generate(RandomScenario.Kind.RELEASES, seed, 5);
      release.faults().forEach(f -> kinds.add("of release " + f.kind().word()));
      release.operatorCommands().forEach(o -> kinds.add(o.command()));
      Scenario storm = RandomScenario.generate(RandomScenario.Kind.VERSIONS, seed, 5);
      for (int i = 1; i < storm.versions().size(); i++) {
        // One that shares nothing with the version before it contradicts it.
        assertTrue(
            storm.versions().get(i - 1).excludedServers().stream()
                .noneMatch(storm.versions().get(i).excludedServers()::contains));
      }
      storm.faults().forEach(fault -> kinds.add(fault.kind().word()));
      RandomScenario.generate(RandomScenario.Kind.PLACES, seed, 5)
          .faults()
          .forEach(f -> kinds.add("of places " + f.kind().word() + " " + f.linkDestination()));
    }
    assertTrue(
        kinds.containsAll(
            List.of(
                "of clients router-reload",
                "of clients router-term",
                "of clients router-kill",
                "of clients router-pause",
                "of clients drain",
                "of clients discovery-out")),
        kinds.toString());
    assertTrue(
        kinds.containsAll(
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
        kinds.toString());
  }

  @Test
  void anEmptyFileIsAWholeScenario() throws TomlException {
    Scenario scenario = read("");
    assertEquals(20 * SECOND, scenario.lengthNanos());
    assertEquals(6, scenario.fleet().cacheServerCount());
    assertEquals(
        List.of("r1", "r2"), scenario.routers().stream().map(Scenario.RouterSpec::name).toList());
    assertEquals(
        Set.of(Scenario.Effect.values()),
        new HashSet<>(scenario.requestClasses().stream().map(Scenario.RequestClass::effect).toList()));
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
  void whatIsWrongIsOneLineWithFileLineAndKey(String text, String line) {
    TomlException e = assertThrows(TomlException.class, () -> read(text.replace(';', '\n')));
    assertTrue(e.getMessage().startsWith(line), e.getMessage());
    assertEquals(1, e.getMessage().lines().count());
  }

  @Test
  void everyShippedScenarioIsReadTheSameFromItsExplanation() throws TomlException, IOException {
    List<Path> files = ShippedScenarios.files(Path.of("examples", "rehearsals"));
    Set<Fault.Kind> kinds = new HashSet<>();
    for (Path file : files) {
      Scenario scenario = ScenarioReader.read(file.toString(), Files.readString(file), null);
      assertTrue(
          Files.readString(file).startsWith("#"), file + " says nothing of what is to be seen");
      assertEquals(scenario, read(ShippedScenarios.explain(scenario)), file.toString());
      scenario.faults().forEach(fault -> kinds.add(fault.kind()));
    }
    assertTrue(files.size() >= 12);
    assertEquals(
        Set.of(),
        Arrays.stream(Fault.Kind.values())
            .filter(k -> !kinds.contains(k))
            .collect(java.util.stream.Collectors.toSet()),
        "kinds of fault that no scenario plays");
  }

  @Test
  void aShareOfTheFleetIsChosenByTheSeed() throws TomlException {
    String text = "[fleet]\ncaches = 40\n[[fault]]\nkind = \"slow\"\nshare = 0.25\n";
    List<String> chosen = ScenarioReader.read("s", text, 1L).faults().get(0).targets();
    assertEquals(10, chosen.size());
    assertEquals(chosen, ScenarioReader.read("s", text, 1L).faults().get(0).targets());
    assertNotEquals(chosen, ScenarioReader.read("s", text, 2L).faults().get(0).targets());
  }

  @Test
  void theSameSeedPlansTheSameRequests() throws TomlException {
    Scenario scenario = read("length = \"10s\"");
    List<ScheduledRequest> plan = RequestSchedule.of(scenario);
    assertEquals(plan, RequestSchedule.of(scenario));
    assertNotEquals(plan, RequestSchedule.of(ScenarioReader.read("s", "length = \"10s\"", 2L)));
    assertTrue(
        Math.abs(plan.size() - 1000) < 150, plan.size() + " requests where 1000 are expected");
    long last = 0;
    for (ScheduledRequest p : plan) {
      assertTrue(p.atNanos() >= last && p.atNanos() < 10 * SECOND);
      last = p.atNanos();
    }
  }

  @Test
  void streamsKeepToTheirTimesAndClasses() throws TomlException {
    List<ScheduledRequest> plan =
        RequestSchedule.of(
            read(
                "[[clients]]\nclasses = [\"level\"]\nto = \"5s\"\n"
                    + "[[clients]]\nclasses = [\"alert-ack\"]\nfrom = \"6s\"\nto = \"8s\"\n"));
    assertTrue(
        plan.stream()
            .allMatch(
                p ->
                    p.requestClass().name().equals("level")
                        ? p.atNanos() < 5 * SECOND
                        : p.atNanos() >= 6 * SECOND && p.atNanos() < 8 * SECOND));
    assertEquals(2, plan.stream().map(p -> p.requestClass().name()).distinct().count());
  }

  /**
   * A site that is named twice has twice the cache servers; clients of a site keep to its routers.
   */
  @Test
  void placesMayBeUnequalAndOfSeveralRegions() throws TomlException {
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
        scenario.fleet().cacheServerNames().stream().filter(n -> scenario.siteOf(n).equals("east")).toList());
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
