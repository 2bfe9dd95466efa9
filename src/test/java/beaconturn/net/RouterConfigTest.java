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
import beaconturn.net.discovery.CallTiming;
import beaconturn.net.discovery.DiscoveryWatcher;
import beaconturn.net.discovery.EndpointListParser;
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
  private static final String VALID_CONFIG =
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
  private final List<RouterSettings> activated = new ArrayList<>();
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
  void readsAllKeys() throws ConfigException {
    RouterConfig config = read(VALID_CONFIG, Map.of());
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

  /** All routers must assign the same keys to a server, whatever address they reach it at. */
  @Test
  void serverIdDependsOnNameOnly() throws ConfigException {
    long here =
        read(VALID_CONFIG, Map.of()).initialEndpoints().endpoints().get(0).endpoint().serverId();
    RouterConfig there = read(VALID_CONFIG.replace("10.1.0.18", "127.9.1.4"), Map.of());
    assertEquals(here, there.initialEndpoints().endpoints().get(0).endpoint().serverId());
    assertEquals("127.9.1.4:6379", there.initialEndpoints().endpoints().get(0).dialAddress());
    assertNotEquals(here, there.initialEndpoints().endpoints().get(1).endpoint().serverId());
  }

  @Test
  void skipsUnreadableEndpoint() throws ConfigException {
    assertEquals(
        1,
        read(VALID_CONFIG.replace("\"ready\"", "\"odd\""), Map.of())
            .initialEndpoints()
            .endpoints()
            .size());
    assertEquals(
        1,
        read(VALID_CONFIG.replace("10.1.0.18:6379", "here"), Map.of())
            .initialEndpoints()
            .endpoints()
            .size());
  }

  @Test
  void variablesOverrideFile() throws ConfigException {
    RouterConfig config =
        read(VALID_CONFIG, Map.of("PROXY_LISTEN", "127.0.0.9:7000", "PROXY_NAME", "n9"));
    assertEquals("n9", config.name());
    assertEquals(7000, config.listenAddress().getPort());
  }

  @Test
  void reportsErrorsInOneLine() {
    assertRejected("", "ends too early");
    assertRejected(VALID_CONFIG.replace("127.0.0.1:6379", "nowhere"), "listen");
    assertRejected(VALID_CONFIG.replace("127.0.0.1:8500", ""), "discovery");
    assertRejected(VALID_CONFIG.replace("8c1f", "seed"), "seed");
    assertRejected(VALID_CONFIG.replace("\"known\"", "\"other\""), "hosts");
    assertRejected(VALID_CONFIG.replace("read_like", "odd"), "classes.0.effect");
    assertRejected(VALID_CONFIG.replace("\"sockets\":512", "\"sockets\":10"), "sockets");
  }

  /**
   * Zones and load report fields must not change, as received endpoint lists and reports refer to
   * them.
   */
  @Test
  void reloadAppliesOnlyWireCompatibleSettings() throws ConfigException {
    ConfigReloader reloader = reloader(VALID_CONFIG);
    files.add(VALID_CONFIG.replace("[\"east\"", "[\"north\""));
    files.add(VALID_CONFIG.replace("1500000000", "900000000"));
    RouterConfig last = read(files.getLast(), Map.of());
    reloader.reload();
    assertEquals(List.of(), posted);
    assertEquals(List.of(), activated);
    reloader.reload();
    assertEquals(
        List.of(new RoutingMessage.SettingsReplaced(last.settings().routing(), last.seed())),
        posted);
    assertEquals(List.of(last.settings()), activated);
    assertTrue(counters.read().contains(new Metric("conf_loaded", 1, false)));
    assertTrue(counters.read().contains(new Metric("conf_invalid", 1, false)));
  }

  /** Empty, truncated, without some key, with another type, or with a zero limit. */
  @Test
  void incompleteFileChangesNothing() throws ConfigException {
    String valid =
        VALID_CONFIG
            .replace("\"tenants\"", "\"permissions\":{\"most_tries\":3},\"tenants\"")
            .strip();
    ConfigReloader reloader = reloader(valid);
    String other = valid.replace("1500000000", "900000000").replace("8500", "8501");
    IntStream.range(0, other.length()).forEach(end -> files.add(other.substring(0, end)));
    String settings = other.substring(other.indexOf("\"settings\""));
    Pattern.compile("\"([a-z_]+)\":")
        .matcher(settings)
        .results()
        .map(key -> key.group(1))
        .forEach(key -> files.add(other.replace("\"" + key + "\":", "\"x_" + key + "\":")));
    Stream.of("0", "-1", "\"x\"", "\"3\"", "null")
        .forEach(
            invalid -> files.add(other.replace("\"most_tries\":3", "\"most_tries\":" + invalid)));
    files.add(other.replace("900000000", "0"));
    files.add(other.replace("\"classes\":[", "\"classes\":[{\"name\":\"new\"},"));
    int invalid = files.size();
    while (!files.isEmpty()) {
      reloader.reload();
    }
    assertEquals(List.of(), posted);
    assertEquals(List.of(), activated);
    assertTrue(counters.read().contains(new Metric("conf_invalid", invalid, false)));
    files.add(other);
    reloader.reload();
    assertEquals(1, posted.size());
    assertEquals(1, activated.size());
  }

  /** Creates a reloader that starts with this text and then reads the queued files. */
  private ConfigReloader reloader(String text) throws ConfigException {
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
            CallTiming.of(1)),
        posted::add,
        activated::add,
        counters);
  }

  private void assertRejected(String text, String reason) {
    String message = assertThrows(ConfigException.class, () -> read(text, Map.of())).getMessage();
    assertTrue(message.contains(reason), message);
    assertFalse(message.contains("\n"), message);
  }
}
