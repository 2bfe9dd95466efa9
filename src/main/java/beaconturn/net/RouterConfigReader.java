package beaconturn.net;

import beaconturn.core.RouterSettings;
import beaconturn.core.RouterSettingsReader;
import beaconturn.core.SettingsException;
import beaconturn.net.discovery.EndpointListParser;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads a router's configuration from a JSON file and environment variables. */
public final class RouterConfigReader {
  private static final int MIN_DESCRIPTORS = 64;
  private static final int DEFAULT_DESCRIPTORS = 1024;
  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int SEED_RADIX = 16;
  private static final String INHERITED_DESCRIPTOR = "0";

  private RouterConfigReader() {}

  /**
   * Reads the file; the variables PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONTROL
   * override its values, and PROXY_FD states that the listening socket is inherited.
   *
   * @throws ConfigException if the file cannot be read or a router cannot start with it
   */
  public static RouterConfig read(Path file, Map<String, String> variables) throws ConfigException {
    try {
      byte[] bytes = Files.readAllBytes(file);
      return read(JsonReader.read(new Slice(bytes, 0, bytes.length)), variables);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
    } catch (ProtocolException | SettingsException | IllegalArgumentException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
  }

  private static RouterConfig read(Json json, Map<String, String> variables)
      throws ProtocolException, SettingsException {
    RouterSettings settings = RouterSettingsReader.read(flatten(json.get("settings")));
    ProcessEnvironment environment = environment(json, variables);
    // Two processes of one router share its limits. A JVM does not return memory, so each process
    // gets half of it from the start; descriptors are divided only while both run.
    int processes = environment.sharesListener() ? 2 : 1;
    int descriptors = descriptors(json, processes);
    return new RouterConfig(
        overridable(json, "name", "router", variables, "PROXY_NAME"),
        address("listen", overridable(json, "listen", "", variables, "PROXY_LISTEN")),
        address("discovery", overridable(json, "discovery", "", variables, "PROXY_DISCOVERY")),
        seed(json.get("seed").asText("0")),
        descriptors,
        limit(json, "memory_mb", DEFAULT_MEMORY_MB) / processes,
        new EndpointListParser(settings).readInitial(json.get("known")),
        settings,
        environment,
        json);
  }

  private static String overridable(
      Json json, String key, String fallback, Map<String, String> variables, String variable) {
    return variables.getOrDefault(variable, json.get(key).asText(fallback));
  }

  private static int descriptors(Json json, int processes) {
    int descriptors = limit(json, "sockets", DEFAULT_DESCRIPTORS);
    if (descriptors < processes * MIN_DESCRIPTORS) {
      throw new IllegalArgumentException(
          "limits.sockets: at least " + processes * MIN_DESCRIPTORS + " descriptors are needed");
    }
    return descriptors;
  }

  private static ProcessEnvironment environment(Json json, Map<String, String> variables) {
    String control = overridable(json, "control", "", variables, "PROXY_CONTROL");
    String descriptor = variables.getOrDefault("PROXY_FD", "");
    if (!descriptor.isEmpty() && !descriptor.equals(INHERITED_DESCRIPTOR)) {
      throw new IllegalArgumentException(
          "PROXY_FD: only descriptor 0 can be inherited, not '" + descriptor + "'");
    }
    String folder = variables.getOrDefault("TMPDIR", "");
    if (!descriptor.isEmpty() && folder.isEmpty()) {
      throw new IllegalArgumentException("TMPDIR: needed where PROXY_FD is set");
    }
    return new ProcessEnvironment(
        control.isEmpty() ? null : address("control", control),
        !descriptor.isEmpty(),
        folder.isEmpty() ? null : Path.of(folder));
  }

  private static int limit(Json json, String name, int fallback) {
    String digits = json.get("limits").get(name).asText(Integer.toString(fallback));
    if (!digits.matches("[0-9]{1,9}")) {
      throw new IllegalArgumentException(
          "limits." + name + ": not a whole number: '" + digits + "'");
    }
    return Integer.parseInt(digits);
  }

  private static InetSocketAddress address(String key, String text) {
    try {
      return Sockets.address(text);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(key + ": " + e.getMessage());
    }
  }

  private static long seed(String digits) {
    try {
      return Long.parseUnsignedLong(digits, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("seed: not a hexadecimal number: '" + digits + "'");
    }
  }

  /**
   * Flattens nested values to paths: members by name, items by index, lists of plain values joined
   * by commas.
   */
  private static Map<String, String> flatten(Json settings) {
    Map<String, String> values = new HashMap<>();
    flatten("", settings, values);
    return values;
  }

  private static void flatten(String path, Json json, Map<String, String> into) {
    String prefix = path.isEmpty() ? "" : path + ".";
    if (json instanceof Json.Members members) {
      members.values().forEach((name, value) -> flatten(prefix + name, value, into));
    } else if (json instanceof Json.Items) {
      flattenItems(path, prefix, json.items(), into);
    } else if (json.asText(null) != null) {
      into.put(path, json.asText(null));
    }
  }

  private static void flattenItems(
      String path, String prefix, List<Json> items, Map<String, String> into) {
    if (!items.isEmpty() && items.stream().allMatch(RouterConfigReader::isPlain)) {
      into.put(path, String.join(",", items.stream().map(item -> item.asText("")).toList()));
    }
    into.put(prefix + "count", Integer.toString(items.size()));
    for (int i = 0; i < items.size(); i++) {
      flatten(prefix + i, items.get(i), into);
    }
  }

  private static boolean isPlain(Json json) {
    return !(json instanceof Json.Members) && !(json instanceof Json.Items);
  }
}
