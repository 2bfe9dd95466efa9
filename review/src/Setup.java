import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

/** A small deployment: discovery, some cache servers and one router with the settings of a site. */
final class Setup {
  static final String CLASSES =
      """
      {"name":"level-now","effect":"read_like","key_scope":"all","window":3000000000,"target":600000000,
       "hard_limit":1500000000,"worth":1.0,"late_worth":0.0,"stream":false},
      {"name":"level-series","effect":"read_like","key_scope":"all","window":3000000000,"target":1200000000,
       "hard_limit":2500000000,"worth":2.0,"late_worth":0.0,"stream":false},
      {"name":"alert-ack","effect":"non_idempotent","key_scope":"all","window":3000000000,"target":750000000,
       "hard_limit":1500000000,"worth":5.0,"late_worth":0.0,"stream":false},
      {"name":"manual-reading","effect":"idempotency_key","key_scope":"all","window":3000000000,
       "target":1500000000,"hard_limit":5000000000,"worth":5.0,"late_worth":0.0,"stream":false}
      """;

  final Kit.Record record;
  final Path folder;
  final Kit.Discovery discovery;
  final List<Kit.CacheServer> servers = new ArrayList<>();
  Kit.Router router;

  interface ServerFactory {
    Kit.CacheServer create(Kit.Record record, String host) throws IOException;
  }

  Setup(Kit.Record record, Kit.Discovery discovery, int count, ServerFactory factory) throws IOException {
    this.record = record;
    this.discovery = discovery;
    this.folder = Files.createTempDirectory("beaconturn-review-");
    Path folderAtEnd = folder;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(folderAtEnd)));
    for (int i = 1; i <= count; i++) {
      Kit.CacheServer server = factory.create(record, "s" + i);
      servers.add(server);
      discovery.put(server.host, server.port(), i % 2 == 0 ? "buc-2" : "buc-1", "ready");
    }
  }

  private static void delete(Path folder) {
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // A temporary folder may stay.
    }
  }

  /** The configuration of a router of bucuresti-nivele: its own limits, classes and rules. */
  String config(String name, int port, int discoveryPort, String classes) {
    return """
        {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%s",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "known":%s,
         "settings":{"index":0,"replicas_of_me":1,"zone":0,"dcs":["buc-1","buc-2"],"flavors":["fast","std"],
          "discovery":"ask","counted_by":"request","over_share_worth":1.0,"weights":"none","tick":5000000,
          "tenants":[],"classes":[%s],
          "family_info":{"mode":"through","ordered":true,"origin_kind":-1,
           "notes":"1_hit__2_miss__3_miss_while_this_server_has_told_another_request_to_fetch",
           "origin_fall":3000000000,"origin_fall_multiple":2.5},
          "load_report":{"how":"none","names":[]},"callers":{"marks_retry":true},
          "permissions":{"cancel":true,"peers":false,"probes":false,"retry_after":true,"second_copies":true,
           "most_tries":5,"max_retry_after":2000000000,"multiplex":32,"dial_timeout":250000000,
           "conn_idle":5000000000},
          "rules":{"answer_slack":20000000,"ask_within":10000000000,"cold_share":0.17,"cold":23000000000,
           "drain_grace":500000000,"fall_multiple":4.0,"overload_for":1000000000}}}
        """
        .formatted(
            name, port, discoveryPort, Long.toHexString(System.nanoTime()), discovery.whole(), classes);
  }

  /** Starts the router and waits until clients may come. */
  Kit.Router start(BiFunction<String, Integer, String> config) throws Exception {
    int port = Kit.freePort();
    Path file = folder.resolve("n1.json");
    Files.writeString(file, config.apply("n1", port));
    router = new Kit.Router(record, folder, "n1", file, port);
    router.awaitReady(30);
    record.line("the router is ready");
    return router;
  }

  /** Copies the router's log into the record. */
  void addLog() throws IOException {
    record.line("the router's log:");
    for (String line : Files.readAllLines(folder.resolve("n1.log"))) {
      record.line("  " + line);
    }
  }
}
