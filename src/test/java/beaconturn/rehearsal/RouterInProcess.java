package beaconturn.rehearsal;

import beaconturn.net.TestPeer;
import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A router in a process of its own, with cache servers of the test and without discovery. */
final class RouterInProcess implements Closeable {
  private static final long EXIT_TIMEOUT_MILLIS = 10_000;

  /** Two classes: {@code read} may be repeated, {@code ack} may not. */
  private static final String CONFIG =
      """
      {"name":"n1","listen":"%s","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
       "limits":{"cores":1.0,"memory_mb":%d,"sockets":1024},
       "known":{"seq":1,"whole":true,"hosts":[%s]},
       "settings":{"index":0,"replicas_of_me":1,"zone":0,"dcs":["here"],"flavors":["std"],
        "discovery":"ask","counted_by":"request","over_share_worth":1.0,"weights":"none",
        "tick":5000000,"tenants":[],"classes":[
         {"name":"read","effect":"read_like","target":600000000,"hard_limit":1500000000,
          "worth":1.0,"late_worth":0.0,"stream":false},
         {"name":"ack","effect":"non_idempotent","target":750000000,"hard_limit":1500000000,
          "worth":5.0,"late_worth":0.0,"stream":false}],
        "family_info":{"mode":"through","ordered":true,"origin_kind":-1,
         "origin_fall":3000000000,"origin_fall_multiple":2.5},
        "load_report":{"how":"none","names":[]},
        "permissions":{"cancel":true,"peers":false,"probes":false,"retry_after":true,
         "second_copies":true,"most_tries":5,"max_retry_after":2000000000,"multiplex":32,
         "dial_timeout":250000000,"conn_idle":5000000000},
        "rules":{"answer_slack":20000000,"ask_within":10000000000,"cold_share":0.17,
         "cold":23000000000,"drain_grace":500000000,"fall_multiple":4.0,
         "overload_for":1000000000}}}
      """;

  private final InetSocketAddress address;
  private final Path log;
  private final RouterLauncher.RunningRouter router;

  /** Starts a router; returns once it accepts connections. */
  RouterInProcess(Path folder, int memoryMb, List<String> dialAddresses) throws Exception {
    address = freeAddress();
    log = folder.resolve("router.log");
    Path config = folder.resolve("config.json");
    String listen = address.getAddress().getHostAddress() + ":" + address.getPort();
    Files.writeString(config, CONFIG.formatted(listen, memoryMb, hosts(dialAddresses)));
    router =
        ProcessLauncher.ofCurrentProgram("beaconturn.cli.Main")
            .launch(new RouterLauncher.LaunchOptions("n1", config, null, log, 0, -1));
    TestPeer.until(this::acceptsConnections);
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
  }

  private static String hosts(List<String> dialAddresses) {
    List<String> hosts = new ArrayList<>();
    for (String dialAddress : dialAddresses) {
      hosts.add(
          "{\"host\":\"s-%d\",\"dial\":\"%s\",\"site\":\"here\",\"class\":\"std\",\"block\":0,"
                  .formatted(hosts.size(), dialAddress)
              + "\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}");
    }
    return String.join(",", hosts);
  }

  private boolean acceptsConnections() throws IOException {
    if (!router.isAlive()) {
      throw new IOException("the router has exited: " + Files.readString(log));
    }
    try {
      connect().close();
      return true;
    } catch (ConnectException e) {
      return false;
    }
  }

  /** Opens a client connection. */
  TestPeer.Connection connect() throws IOException {
    return TestPeer.Connection.to(address);
  }

  /** The log so far. */
  String log() throws IOException {
    return Files.readString(log);
  }

  RouterLauncher.RunningRouter process() {
    return router;
  }

  @Override
  public void close() throws IOException {
    router.kill();
    try {
      router.awaitExit(EXIT_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
