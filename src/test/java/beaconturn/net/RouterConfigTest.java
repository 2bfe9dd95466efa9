package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Lifecycle;
import beaconturn.core.RouterSettings;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.EndpointListKind;
import beaconturn.net.discovery.DiscoveryWatcher;
import beaconturn.net.discovery.EndpointListParser;
import beaconturn.net.discovery.WatchBackoff;
import beaconturn.stats.Counters;
import beaconturn.stats.Metric;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RouterConfigTest {
  private static final String SOUND =
      """
        {"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500",
         "seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
         "known":{"seq":41,"whole":true,"hosts":[
           {"host":"s-5be2a07c","dial":"10.1.0.18:6379","site":"west","class":"large","block":3,
            "health":"ready","share":1.5,"born_ms":1700000000123},
           {"host":"s-5be2a07d","dial":"10.1.0.19:6379","site":"east","class":"small","block":0,
            "health":"draining","share":1.0,"born_ms":0}]},
         "settings":{"replicas_of_me":2,"dcs":["east","west"],"flavors":["small","large"],
           "tenants":[],
           "load_report":{"how":"none","names":[]},"rules":{"answer_slack":20000000},
           "classes":[{"name":"read","effect":"read_like","target":600000000,
             "hard_limit":1500000000}]}}
        """;

  @TempDir private Path folder;
  private final List<RoutingMessage> posted = new ArrayList<>();
  private final List<RouterSettings> inForce = new ArrayList<>();
  private final Counters counters = new Counters();
  private final Deque<String> files = new ArrayDeque<>();

  private RouterConfig read(String text, Map<String, String> variables) throws ConfigException {
    Path file = folder.resolve("config.json");
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return RouterConfigReader.read(file, variables);
  }

  @Test
  void readsAllThatARouterIsTold() throws ConfigException {
    RouterConfig config = read(SOUND, Map.of());
    assertEquals("n3", config.name());
    assertEquals(6379, config.listenAddress().getPort());
    assertEquals(0x8c1f30d27a5be964L, config.seed());
    assertEquals(512, config.sockets());
    assertEquals(41, config.initialEndpoints().version());
    assertEquals(EndpointListKind.CACHED, config.initialEndpoints().kind());
    Endpoint first = config.initialEndpoints().endpoints().get(0).endpoint();
    assertEquals(1, first.zone());
    assertEquals(1, first.kind());
    assertEquals(3, first.cell());
    assertEquals(1700000000123L * 1_000_000, first.bootTimeNanos());
    assertEquals(
        EndpointHealth.DRAINING, config.initialEndpoints().endpoints().get(1).endpoint().health());
    assertEquals(2, config.settings().routing().routerCount());
    assertEquals(1_500_000_000L, config.settings().routing().classes().get(0).deadlineNanos());
    assertTrue(config.settings().routing().loadReportFields().isEmpty());
  }

  /** Every router must place the same keys alike, whatever address it reaches a cache server at. */
  @Test
  void theNumberOfACacheServerComesFromItsNameAlone() throws ConfigException {
    long here = read(SOUND, Map.of()).initialEndpoints().endpoints().get(0).endpoint().serverId();
    RouterConfig there = read(SOUND.replace("10.1.0.18", "127.9.1.4"), Map.of());
    assertEquals(here, there.initialEndpoints().endpoints().get(0).endpoint().serverId());
    assertEquals("127.9.1.4:6379", there.initialEndpoints().endpoints().get(0).dialAddress());
    assertNotEquals(here, there.initialEndpoints().endpoints().get(1).endpoint().serverId());
  }

  /** One line that cannot be read must not hide the others. */
  @Test
  void anUnreadableLineOfTheListIsLeftOut() throws ConfigException {
    assertEquals(
        1,
        read(SOUND.replace("\"ready\"", "\"odd\""), Map.of())
            .initialEndpoints()
            .endpoints()
            .size());
    assertEquals(
        1,
        read(SOUND.replace("10.1.0.18:6379", "here"), Map.of())
            .initialEndpoints()
            .endpoints()
            .size());
  }

  @Test
  void variablesOverruleTheFile() throws ConfigException {
    RouterConfig config = read(SOUND, Map.of("PROXY_LISTEN", "127.0.0.9:7000", "PROXY_NAME", "n9"));
    assertEquals("n9", config.name());
    assertEquals(7000, config.listenAddress().getPort());
  }

  @Test
  void whatIsWrongIsSaidInOneLine() {
    refused("", "ends too early");
    refused(SOUND.replace("127.0.0.1:6379", "nowhere"), "listen");
    refused(SOUND.replace("127.0.0.1:8500", ""), "discovery");
    refused(SOUND.replace("8c1f", "seed"), "seed");
    refused(SOUND.replace("\"known\"", "\"other\""), "hosts");
    refused(SOUND.replace("read_like", "odd"), "classes.0.effect");
    refused(SOUND.replace("\"sockets\":512", "\"sockets\":10"), "sockets");
  }

  /**
   * What tells places or reports apart must not change under the lists that were read; all else
   * does.
   */
  @Test
  void aReloadTakesSettingsThatLeaveTheWireAloneAndNoOthers() throws ConfigException {
    ConfigReloader reloads = reloads(SOUND);
    files.add(SOUND.replace("[\"east\"", "[\"north\""));
    files.add(SOUND.replace("1500000000", "900000000"));
    RouterConfig last = read(files.getLast(), Map.of());
    reloads.reload();
    assertEquals(List.of(), posted);
    assertEquals(List.of(), inForce);
    reloads.reload();
    assertEquals(
        List.of(new RoutingMessage.SettingsReplaced(last.settings().routing(), last.seed())),
        posted);
    assertEquals(List.of(last.settings()), inForce);
    assertTrue(counters.read().contains(new Metric("conf_loaded", 1, false)));
    assertTrue(counters.read().contains(new Metric("conf_invalid", 1, false)));
  }

  /** Empty, cut anywhere, short of any key, of another type, or with nothing to wait or to try. */
  @Test
  void aFileThatIsNotWholeChangesNothing() throws ConfigException {
    String sound =
        SOUND.replace("\"tenants\"", "\"permissions\":{\"most_tries\":3},\"tenants\"").strip();
    ConfigReloader reloads = reloads(sound);
    String other = sound.replace("1500000000", "900000000").replace("8500", "8501");
    IntStream.range(0, other.length()).forEach(end -> files.add(other.substring(0, end)));
    String settings = other.substring(other.indexOf("\"settings\""));
    Pattern.compile("\"([a-z_]+)\":")
        .matcher(settings)
        .results()
        .map(key -> key.group(1))
        .forEach(key -> files.add(other.replace("\"" + key + "\":", "\"x_" + key + "\":")));
    Stream.of("0", "-1", "\"x\"", "\"3\"", "null")
        .forEach(wrong -> files.add(other.replace("\"most_tries\":3", "\"most_tries\":" + wrong)));
    files.add(other.replace("900000000", "0"));
    files.add(other.replace("\"classes\":[", "\"classes\":[{\"name\":\"new\"},"));
    int wrong = files.size();
    while (!files.isEmpty()) {
      reloads.reload();
    }
    assertEquals(List.of(), posted);
    assertEquals(List.of(), inForce);
    assertTrue(counters.read().contains(new Metric("conf_invalid", wrong, false)));
    files.add(other);
    reloads.reload();
    assertEquals(1, posted.size());
    assertEquals(1, inForce.size());
  }

  /** A router that began with this text, and finds the files one by one. */
  private ConfigReloader reloads(String text) throws ConfigException {
    RouterConfig first = read(text, Map.of());
    return new ConfigReloader(
        new RouterInputs(
            first,
            () -> read(files.remove(), Map.of()),
            new Lifecycle(),
            RouterCustomization.NONE,
            null,
            null),
        new DiscoveryWatcher(
            first.discoveryAddress(),
            new EndpointListParser(first.settings()),
            1,
            posted::add,
            () -> 0,
            WatchBackoff.of(1)),
        posted::add,
        inForce::add,
        counters);
  }

  private void refused(String text, String reason) {
    String message = assertThrows(ConfigException.class, () -> read(text, Map.of())).getMessage();
    assertTrue(message.contains(reason), message);
    assertFalse(message.contains("\n"), message);
  }
}
