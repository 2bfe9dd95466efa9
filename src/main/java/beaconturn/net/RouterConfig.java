package beaconturn.net;

import beaconturn.core.EndpointUpdate;
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

/** What one real router is told before it starts. */
public record RouterConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    int memoryMb,
    EndpointUpdate known,
    RouterSettings settings,
    Surroundings surroundings,
    Json document) {
  private static final int FEWEST_SOCKETS = 64;
  private static final int USUAL_SOCKETS = 1024;
  private static final int USUAL_MEMORY = 192;
  private static final int HEX = 16;

  /**
   * What else may be set: {@code control} is the operators' address or null; {@code shared} says
   * that the clients' listening socket comes as descriptor 0 and another process of this router may
   * hold it too; {@code folder} outlives the process, or is null.
   */
  public record Surroundings(InetSocketAddress control, boolean shared, Path folder) {
    /** No second address, a socket of its own, no folder. */
    public static final Surroundings NONE = new Surroundings(null, false, null);
  }

  /** The operators' address, or null if there is none. */
  public InetSocketAddress control() {
    return surroundings.control();
  }

  /**
   * Whether another process of this router may serve beside this one, on the same listening socket.
   */
  public boolean shared() {
    return surroundings.shared();
  }

  /**
   * The file of that kind which the next process of this router should find; null if no folder is
   * kept.
   */
  public Path kept(String kind) {
    // Names come from operators, and must not lead out of the folder.
    return surroundings.folder() == null
        ? null
        : surroundings
            .folder()
            .resolve("beaconturn-" + name.replaceAll("[^A-Za-z0-9-]", "_") + "." + kind);
  }

  /** Where a configuration can be read again and again. */
  public interface Source {
    /** The configuration as it is now. */
    RouterConfig read() throws ConfigException;
  }

  /**
   * Reads the file; the variables PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_CONTROL
   * overrule it, and PROXY_FD says that the listening socket is inherited.
   */
  public static RouterConfig read(Path file, Map<String, String> variables) throws ConfigException {
    try {
      byte[] bytes = Files.readAllBytes(file);
      return of(JsonReader.read(new Slice(bytes, 0, bytes.length)), variables);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
    } catch (ProtocolException | SettingsException | IllegalArgumentException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
  }

  private static RouterConfig of(Json json, Map<String, String> variables)
      throws ProtocolException, SettingsException {
    RouterSettings settings = RouterSettingsReader.read(flat(json.get("settings")));
    Surroundings surroundings = surroundings(json, variables);
    // Two processes of one router keep to its limits together. Memory that is taken is not given
    // back, so
    // each has half of it from the start; descriptors are shared out as long as there are two.
    int share = surroundings.shared() ? 2 : 1;
    int sockets = limit(json, "sockets", USUAL_SOCKETS);
    if (sockets < share * FEWEST_SOCKETS) {
      throw new IllegalArgumentException(
          "limits.sockets: at least " + share * FEWEST_SOCKETS + " are needed");
    }
    return new RouterConfig(
        variables.getOrDefault("PROXY_NAME", json.get("name").word("router")),
        address("listen", variables.getOrDefault("PROXY_LISTEN", json.get("listen").word(""))),
        address(
            "discovery", variables.getOrDefault("PROXY_DISCOVERY", json.get("discovery").word(""))),
        seed(json.get("seed").word("0")),
        sockets,
        limit(json, "memory_mb", USUAL_MEMORY) / share,
        new EndpointListParser(settings).known(json.get("known")),
        settings,
        surroundings,
        json);
  }

  private static Surroundings surroundings(Json json, Map<String, String> variables) {
    String control = variables.getOrDefault("PROXY_CONTROL", json.get("control").word(""));
    String descriptor = variables.getOrDefault("PROXY_FD", "");
    if (!descriptor.isEmpty() && !descriptor.equals("0")) {
      throw new IllegalArgumentException(
          "PROXY_FD: only descriptor 0 can be inherited, not '" + descriptor + "'");
    }
    String folder = variables.getOrDefault("TMPDIR", "");
    if (!descriptor.isEmpty() && folder.isEmpty()) {
      throw new IllegalArgumentException("TMPDIR: needed where PROXY_FD is set");
    }
    return new Surroundings(
        control.isEmpty() ? null : address("control", control),
        !descriptor.isEmpty(),
        folder.isEmpty() ? null : Path.of(folder));
  }

  /**
   * The first thing that the earlier configuration had and this one lacks, or has in another form,
   * in the list of cache servers aside; null if there is none. A file that is cut or half edited
   * must not pass for one that leaves out on purpose what has a default.
   */
  public String lacks(RouterConfig earlier) {
    return lacks("", earlier.document, document);
  }

  private static String lacks(String path, Json before, Json now) {
    if (!now.getClass().equals(before.getClass())) {
      return path;
    }
    if (before instanceof Json.Members members) {
      for (Map.Entry<String, Json> e : members.values().entrySet()) {
        String at = path.isEmpty() ? e.getKey() : path + "." + e.getKey();
        String missing = at.equals("known") ? null : lacks(at, e.getValue(), now.get(e.getKey()));
        if (missing != null) {
          return missing;
        }
      }
    } else if (!before.items().isEmpty()) {
      for (int i = 0; i < now.items().size(); i++) {
        String missing = lacks(path + "." + i, before.items().get(0), now.items().get(i));
        if (missing != null) {
          return missing;
        }
      }
    }
    return null;
  }

  private static int limit(Json json, String name, int usual) {
    String digits = json.get("limits").get(name).word(Integer.toString(usual));
    if (!digits.matches("[0-9]{1,9}")) {
      throw new IllegalArgumentException(
          "limits." + name + ": not a whole number: '" + digits + "'");
    }
    return Integer.parseInt(digits);
  }

  private static InetSocketAddress address(String name, String text) {
    try {
      return Sockets.address(text);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(name + ": " + e.getMessage());
    }
  }

  private static long seed(String digits) {
    try {
      return Long.parseUnsignedLong(digits, HEX);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("seed: not a hexadecimal number: '" + digits + "'");
    }
  }

  /** Nested values as paths: members by name, items by number, plain lists joined by commas. */
  private static Map<String, String> flat(Json settings) {
    Map<String, String> values = new HashMap<>();
    flatten("", settings, values);
    return values;
  }

  private static void flatten(String path, Json json, Map<String, String> into) {
    String below = path.isEmpty() ? "" : path + ".";
    if (json instanceof Json.Members members) {
      members.values().forEach((name, value) -> flatten(below + name, value, into));
    } else if (json instanceof Json.Items items) {
      List<Json> all = items.values();
      boolean plain =
          all.stream().noneMatch(i -> i instanceof Json.Members || i instanceof Json.Items);
      if (plain && !all.isEmpty()) {
        into.put(path, String.join(",", all.stream().map(i -> i.word("")).toList()));
      }
      into.put(below + "count", Integer.toString(all.size()));
      for (int i = 0; i < all.size(); i++) {
        flatten(below + i, all.get(i), into);
      }
    } else if (json.word(null) != null) {
      into.put(path, json.word(null));
    }
  }
}
