package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.Lifecycle;
import beaconturn.core.RouterSettings;
import beaconturn.core.Samples;
import beaconturn.net.discovery.EndpointListParser;
import beaconturn.net.io.Threads;
import beaconturn.net.server.LargeResponseStream;
import beaconturn.protocol.Bytes;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A router between a client, a cache server and discovery that the test controls. */
class RouterServerTest {
  private static final String VALUE = "*3\r\n$2\r\nva\r\n$3\r\nhit\r\n$-1\r\n";
  private static final String GET =
      "*4\r\n$5\r\nC.GET\r\n$16\r\n00000000000000a1\r\n$2\r\nid\r\n$13\r\n" + "c=read,d=1500\r\n";
  private static final ProcessEnvironment WITH_ADMIN_ADDRESS =
      new ProcessEnvironment(new InetSocketAddress("127.0.0.1", 0), false, null);
  private static final int SOCKETS = 100;
  private static final int MEMORY_MB = 192;
  private final CountDownLatch finished = new CountDownLatch(1);
  private final Lifecycle lifecycle = new Lifecycle();
  private final TestPeer silentDiscovery =
      new TestPeer(
          connection -> {
            connection.readHttpHead();
            finished.await();
          });
  private final BlockingQueue<RouterConfig> newConfigs = new LinkedBlockingQueue<>();
  private ProcessEnvironment environment = ProcessEnvironment.NONE;
  private RouterSettings settings = Samples.read();
  private RouterServer router;

  /**
   * Stops the router as well: one that runs on calls the former address of its discovery, which may
   * belong to another test by then.
   */
  @AfterEach
  void close() {
    finished.countDown();
    silentDiscovery.close();
    if (router != null) {
      Threads.start("test-stop", this::stopRouter);
    }
  }

  private void stopRouter() {
    try {
      router.drain();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts a graceful shutdown on another thread. */
  private FutureTask<Void> drain() throws InterruptedException {
    FutureTask<Void> drain =
        new FutureTask<>(
            () -> {
              router.drain();
              return null;
            });
    Threads.start("test-drain", drain);
    lifecycle.await(Lifecycle.Phase.DRAINING);
    return drain;
  }

  private static String list(int version, boolean complete, TestPeer cache, String health) {
    return "{\"seq\":"
        + version
        + ",\"whole\":"
        + complete
        + ",\"hosts\":[{\"host\":\"s-1\",\"dial\":\""
        + cache.dialAddress()
        + "\",\"site\":\"east\",\"class\":\"small\",\"block\":0,\"health\":\""
        + health
        + "\",\"share\":1.0,\"born_ms\":0}]}";
  }

  private RouterConfig config(TestPeer cache, TestPeer discovery) throws ProtocolException {
    return config(new InetSocketAddress("127.0.0.1", 0), cache, discovery);
  }

  private RouterConfig config(InetSocketAddress listen, TestPeer cache, TestPeer discovery)
      throws ProtocolException {
    EndpointUpdate initialList =
        new EndpointListParser(settings)
            .readInitial(JsonReader.read(Slice.of(list(4, true, cache, "ready"))));
    return new RouterConfig(
        "r1",
        listen,
        discovery.address(),
        1,
        SOCKETS,
        MEMORY_MB,
        initialList,
        settings,
        environment,
        new Json.Null());
  }

  /** Supplies the next configuration queued by the test to a reload, or fails if there is none. */
  private RouterConfig nextConfig() throws ConfigException {
    RouterConfig next = newConfigs.poll();
    if (next == null) {
      finished.countDown();
      throw new ConfigException("no configuration");
    }
    return next;
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
  }

  /** A shutdown during the start finds no listener to close; none may be bound afterwards. */
  @Test
  void acceptsNoClientWhenDrainedWhileStarting() throws Exception {
    InetSocketAddress address = freeAddress();
    try (TestPeer cache = respondingCache()) {
      router =
          new RouterServer(config(address, cache, silentDiscovery), this::nextConfig, lifecycle);
      router.drain();
      router.start();
      assertThrows(ConnectException.class, () -> TestPeer.Connection.to(address));
    }
  }

  /** Accepted connections need responses, which a starting router cannot send in time. */
  @Test
  void acceptsNoClientBeforeServing() throws Exception {
    InetSocketAddress address = freeAddress();
    try (TestPeer cache = respondingCache()) {
      router =
          new RouterServer(config(address, cache, silentDiscovery), this::nextConfig, lifecycle);
      assertThrows(ConnectException.class, () -> TestPeer.Connection.to(address));
      router.start();
      try (TestPeer.Connection client = TestPeer.Connection.to(address)) {
        client.write("*1\r\n$4\r\nPING\r\n");
        assertEquals("+PONG", client.readResponse());
        client.write(GET);
        client.readResponse();
        assertEquals("C.GET", cache.note().split(" ")[0], "the initial endpoint list is active");
      }
    }
  }

  /**
   * With pushed lists the policy does not request a watch, without which no drain would be noticed.
   */
  @Test
  void watchesDiscoveryWithPushedLists() throws Exception {
    settings = Samples.read("discovery", "push");
    try (TestPeer cache = respondingCache();
        TestPeer discovery =
            new TestPeer(
                connection -> {
                  connection.note(connection.readHttpHead().split(" ")[1]);
                  connection.writeHttpResponse(200, list(5, false, cache, "draining"));
                  connection.readHttpHead();
                  finished.await();
                });
        TestPeer.Connection client = start(cache, discovery)) {
      assertEquals("/registry/instances?after=4&wait_ms=1", discovery.note());
      client.write(GET);
      assertTrue(client.readResponse().startsWith("-BUSY"));
      assertEquals(List.of(), cache.remainingNotes());
    }
  }

  /**
   * Discovery counts a change as delivered from the start of the process on, so the first list must
   * arrive before clients are accepted.
   */
  @Test
  void acceptsNoClientBeforeDiscoveryReplies() throws Exception {
    InetSocketAddress address = freeAddress();
    try (TestPeer cache = respondingCache();
        TestPeer discovery =
            new TestPeer(
                connection -> {
                  connection.readHttpHead();
                  try (TestPeer.Connection early = TestPeer.Connection.to(address)) {
                    early.write("x");
                    connection.note("accepted before discovery replied");
                  } catch (ConnectException e) {
                    connection.note("not accepted yet");
                  }
                  connection.writeHttpResponse(200, list(5, false, cache, "ready"));
                  connection.readHttpHead();
                  finished.await();
                })) {
      router =
          new RouterServer(
              new RouterInputs(
                  config(address, cache, discovery),
                  this::nextConfig,
                  lifecycle,
                  new RouterCustomization() {
                    @Override
                    public long firstListTimeoutNanos() {
                      return 20_000_000_000L;
                    }
                  },
                  null,
                  null));
      router.start();
      assertEquals("not accepted yet", discovery.note());
    }
  }

  private TestPeer.Connection start(TestPeer cache, TestPeer discovery)
      throws IOException, ProtocolException {
    RouterConfig config = config(cache, discovery);
    router = new RouterServer(config, this::nextConfig, lifecycle);
    router.start();
    return TestPeer.Connection.to(router.address());
  }

  private static TestPeer respondingCache() {
    return new TestPeer(
        connection -> {
          for (String c = connection.readCommand();
              !c.equals("end");
              c = connection.readCommand()) {
            connection.note(c);
            connection.write(VALUE);
          }
          connection.note("end");
        });
  }

  private static TestPeer cacheRespondingAfter(CountDownLatch resumeCache) {
    return new TestPeer(
        connection -> {
          connection.readCommand();
          connection.note("received");
          resumeCache.await();
          connection.write(VALUE);
          connection.readCommand();
        });
  }

  @Test
  void forwardsRequestAndResponse() throws Exception {
    try (TestPeer cache = respondingCache();
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write("*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", client.readResponse());
      client.write(
          "*5\r\n$5\r\nC.SET\r\n$16\r\n00000000000000a1\r\n$2\r\nid\r\n$17\r\n"
              + "c=put,d=1500,k=k7\r\n$1\r\nx\r\n");
      assertEquals("$2\r\nva", client.readResponse());
      String[] words = cache.note().split(" ");
      assertEquals("C.SET 00000000000000a1 id", String.join(" ", words[0], words[1], words[2]));
      assertTrue(words[3].matches("c=put,d=[0-9]{1,4},k=k7"), words[3]);
      assertTrue(Integer.parseInt(words[3].replaceAll(".*d=([0-9]+).*", "$1")) <= 1500, words[3]);
      assertEquals("x", words[4]);
    }
  }

  @Test
  void respondsInCommandOrder() throws Exception {
    CountDownLatch resumeCache = new CountDownLatch(1);
    try (TestPeer cache = cacheRespondingAfter(resumeCache);
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write(
          GET + "*1\r\n$4\r\nPING\r\n*1\r\n$5\r\nHELLO\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n");
      cache.note();
      resumeCache.countDown();
      assertEquals("$2\r\nva", client.readResponse());
      assertEquals("+PONG", client.readResponse());
      assertEquals("-ERR unknown command", client.readResponse());
      assertEquals("+OK", client.readResponse());
    }
  }

  @Test
  void disconnectCancelsRequest() throws Exception {
    try (TestPeer cache =
            new TestPeer(
                connection -> {
                  connection.readCommand();
                  connection.note("received");
                  connection.note(connection.readCommand());
                });
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write(GET);
      assertEquals("received", cache.note());
      client.disconnect();
      assertEquals("broken", cache.note());
    }
  }

  @Test
  void protocolErrorClosesConnectionAfterEarlierResponses() throws Exception {
    try (TestPeer cache = respondingCache();
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write(GET + "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + GET);
      assertEquals("$2\r\nva", client.readResponse());
      assertTrue(client.readResponse().startsWith("-ERR "));
      assertEquals("end", client.readResponse());
    }
  }

  @Test
  void rejectsInvalidAttributes() throws Exception {
    try (TestPeer cache = respondingCache();
        TestPeer.Connection first = start(cache, silentDiscovery)) {
      first.disconnect();
      for (String invalid :
          new String[] {
            "c=none,d=100",
            "c=read",
            "c=read,d=x",
            "c=read,d=0",
            "c",
            "",
            "c=read,d=5d",
            "c=read,d=0x1p3",
            "c=read,d=NaN",
            "c=read,d=1e3",
            "c=read,d=-5",
            "c=read,d= 5",
            "c=read,d=999999999999",
            "c=read,d=4001",
            "c=read,d=100,d=200",
            "c=read,,d=100",
            "c=read,d=100,size=x",
            "c=read,d=100," + "x=y,".repeat(20) + "z=z"
          }) {
        assertRejected("a", "id", invalid);
      }
      assertEquals(List.of(), cache.remainingNotes());
    }
  }

  /** Asserts one error response, and that the next command is still answered. */
  private void assertRejected(String key, String id, String attributes) throws Exception {
    try (TestPeer.Connection client = TestPeer.Connection.to(router.address())) {
      client.write(
          "*4\r\n$5\r\nC.GET\r\n"
              + RespWriter.bulk(key)
              + RespWriter.bulk(id)
              + RespWriter.bulk(attributes)
              + "*1\r\n$4\r\nPING\r\n");
      assertTrue(client.readResponse().startsWith("-ERR "), attributes);
      assertEquals("+PONG", client.readResponse(), attributes);
    }
  }

  /** A cache server rejects such keys and ids, and its errors would count against it. */
  @Test
  void rejectsInvalidKeysAndIds() throws Exception {
    try (TestPeer cache = respondingCache();
        TestPeer.Connection first = start(cache, silentDiscovery)) {
      first.disconnect();
      for (String invalid : new String[] {"", "a b", "a\u0001b", "x".repeat(200), "a\u007f"}) {
        assertRejected(invalid, "id", "c=read,d=100");
        assertRejected("key", invalid, "c=read,d=100");
      }
      assertEquals(List.of(), cache.remainingNotes());
    }
  }

  /**
   * Each request counts at most once, whether served, rejected, failed, abandoned or invalid, and
   * none stays open.
   */
  @Test
  void countsEachRequestOnce() throws Exception {
    environment = WITH_ADMIN_ADDRESS;
    try (TestPeer cache =
            new TestPeer(
                connection -> {
                  for (String c = connection.readCommand();
                      !c.equals("end");
                      c = connection.readCommand()) {
                    if (c.contains(" hang ")) {
                      connection.note("hang");
                      connection.note(connection.readCommand());
                    }
                    connection.write(c.contains(" bad ") ? "-ERR failed\r\n" : VALUE);
                  }
                });
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write(GET + setCommand("bad") + GET.replace("id", "i2"));
      assertEquals("$2\r\nva", client.readResponse());
      assertEquals("-ERR failed", client.readResponse());
      assertEquals("$2\r\nva", client.readResponse());
      client.write(setCommand("hang"));
      assertEquals("hang", cache.note());
      assertEquals("1", metrics("current"));
      client.disconnect();
      assertEquals("broken", cache.note());
      assertRejected("a", "id", "c=none,d=100");
      assertEquals("ACK\n", adminCommand("disable-server s-1"));
      try (TestPeer.Connection other = TestPeer.Connection.to(router.address())) {
        other.write(GET);
        assertTrue(other.readResponse().startsWith("-BUSY"));
      }
      // A request is counted after its response is written, so the client may see the response
      // first.
      TestPeer.until(
          () ->
              metrics(
                      "answered.read",
                      "deferred.read",
                      "answered.ack",
                      "errored.ack",
                      "sends",
                      "current",
                      "cluster_size")
                  .equals("2 1 0 1 4 0 1"));
      TestPeer.until(() -> metrics("cluster_unhealthy").equals("1"));
      assertEquals("NAK no cache server has this id\n", adminCommand("disable-server s-2"));
    }
  }

  /**
   * New requests use the new class at once; open requests end under the class that they were
   * accepted with.
   */
  @Test
  void removedClassKeepsOpenRequestsAndMetrics() throws Exception {
    environment = WITH_ADMIN_ADDRESS;
    CountDownLatch resumeCache = new CountDownLatch(1);
    try (TestPeer cache = cacheRespondingAfter(resumeCache);
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write(GET);
      assertEquals("received", cache.note());
      settings = Samples.read("classes.0.name", "fresh");
      newConfigs.add(config(cache, silentDiscovery));
      router.reload();
      TestPeer.until(() -> metrics("conf_loaded").equals("1"));
      assertRejected("a", "i2", "c=read,d=100");
      resumeCache.countDown();
      assertEquals("$2\r\nva", client.readResponse());
      // A request is counted after its response is written, so the client may see the response
      // first.
      TestPeer.until(() -> metrics("answered.read", "answered.fresh").equals("1 0"));
    }
  }

  /** A client may not know yet that the deadlines have become shorter. */
  @Test
  void acceptsWaitAllowedByPreviousSettings() throws Exception {
    environment = WITH_ADMIN_ADDRESS;
    try (TestPeer cache = respondingCache();
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      settings = Samples.read("classes.0.hard_limit", "500000000");
      newConfigs.add(config(cache, silentDiscovery));
      router.reload();
      TestPeer.until(() -> metrics("conf_loaded").equals("1"));
      client.write(GET);
      assertEquals("$2\r\nva", client.readResponse());
      assertRejected("a", "i2", "c=read,d=4001");
    }
  }

  private static String setCommand(String id) {
    return "*5\r\n$5\r\nC.SET\r\n$16\r\n00000000000000a1\r\n"
        + RespWriter.bulk(id)
        + "$17\r\nc=ack,d=1500,k=k7\r\n$1\r\nx\r\n";
  }

  private String adminCommand(String command) throws IOException {
    try (TestPeer.Connection operator = TestPeer.Connection.to(router.adminAddress())) {
      operator.write(command + "\n");
      return operator.readRemaining();
    }
  }

  /** Returns the values of the metrics from one call, separated by blanks. */
  private String metrics(String... names) throws IOException {
    String reply = adminCommand("show-stat");
    return String.join(
        " ",
        Stream.of(names)
            .map(name -> reply.replaceAll("(?s).*\\bapp." + name + ":([0-9]+)[|].*", "$1"))
            .toList());
  }

  /** Two pending requests with the same id could receive each other's responses. */
  @Test
  void rejectsIdOfPendingRequest() throws Exception {
    CountDownLatch resumeCache = new CountDownLatch(1);
    try (TestPeer cache = cacheRespondingAfter(resumeCache);
        TestPeer.Connection client = start(cache, silentDiscovery);
        TestPeer.Connection other = TestPeer.Connection.to(router.address())) {
      client.write(GET);
      cache.note();
      other.write(GET + "*1\r\n$4\r\nPING\r\n");
      assertTrue(other.readResponse().startsWith("-ERR "));
      assertEquals("+PONG", other.readResponse());
      resumeCache.countDown();
      assertEquals("$2\r\nva", client.readResponse());
    }
  }

  /**
   * Partial commands must not make their connections count as active, as the accepting thread would
   * then reject or block new clients.
   */
  @Test
  void partialCommandsDoNotBlockOtherClients() throws Exception {
    try (TestPeer cache = respondingCache();
        TestPeer.Connection first = start(cache, silentDiscovery)) {
      first.disconnect();
      List<TestPeer.Connection> partialClients = new ArrayList<>();
      for (int i = 0; i < 2 * ConnectionBudget.of(SOCKETS, MEMORY_MB).clients(); i++) {
        TestPeer.Connection connection = TestPeer.Connection.to(router.address());
        partialClients.add(connection);
        connection.write("*4\r\n$5\r\nC.G");
      }
      assertEquals("$2\r\nva", responseOnAnyConnection());
      partialClients.forEach(TestPeer.Connection::disconnect);
    }
  }

  /**
   * Sends a request on new connections until one is served, as clients do when the connection limit
   * is reached.
   */
  private String responseOnAnyConnection() throws Exception {
    String response = "end";
    while (response.equals("end")) {
      try (TestPeer.Connection client = TestPeer.Connection.to(router.address())) {
        client.write(GET);
        response = client.readResponse();
      } catch (IOException e) {
        response = "end";
      }
    }
    return response;
  }

  @Test
  void rejectsRequestWithinDeadlineWhenServerIsSilent() throws Exception {
    try (TestPeer cache =
            new TestPeer(
                connection -> {
                  connection.readCommand();
                  finished.await();
                });
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write(GET.replace("d=1500", "d=0150"));
      assertTrue(client.readResponse().startsWith("-BUSY"));
    }
  }

  /** Discovery counts a watch as broken if the next call is late; the version must advance. */
  @Test
  void watchContinuesFromReceivedVersion() throws Exception {
    TestPeer[] cache = {respondingCache()};
    try (TestPeer discovery =
            new TestPeer(
                connection -> {
                  connection.note(connection.readHttpHead().split(" ")[1]);
                  connection.writeHttpResponse(200, list(5, false, cache[0], "draining"));
                  connection.note(connection.readHttpHead().split(" ")[1]);
                  finished.await();
                });
        TestPeer.Connection client = start(cache[0], discovery)) {
      assertTrue(discovery.note().startsWith("/registry/instances?after=4&wait_ms="));
      assertTrue(discovery.note().startsWith("/registry/instances?after=5&wait_ms="));
      client.write(GET);
      assertTrue(client.readResponse().startsWith("-BUSY"), "the only cache server is draining");
      assertEquals(1, discovery.connections());
    } finally {
      cache[0].close();
    }
  }

  @Test
  void retriesFailedWatchAndKeepsList() throws Exception {
    try (TestPeer cache = respondingCache();
        TestPeer discovery =
            new TestPeer(
                connection -> {
                  connection.note(connection.readHttpHead().split("&wait_ms=")[0]);
                  connection.writeHttpResponse(503, "");
                });
        TestPeer.Connection client = start(cache, discovery)) {
      String first = discovery.note();
      assertEquals(first, discovery.note());
      assertEquals(first, discovery.note());
      client.write(GET);
      assertEquals("$2\r\nva", client.readResponse());
    }
  }

  /**
   * A reload that names another discovery cancels the watch on the old one, even while it is
   * pending, and fetches the whole list from the new one, whose versions are independent.
   */
  @Test
  void reloadMovesWatchToNewAddress() throws Exception {
    TestPeer[] cache = {respondingCache()};
    TestPeer.Script discoveryScript =
        connection -> {
          connection.note(connection.readHttpHead().split(" ")[1]);
          connection.writeHttpResponse(200, list(1, true, cache[0], "draining"));
          connection.note(connection.readHttpHead().split(" ")[1]);
          connection.note(connection.readHttpHead().isEmpty() ? "dropped" : "requested again");
        };
    try (TestPeer oldDiscovery =
            new TestPeer(
                connection -> {
                  connection.note(connection.readHttpHead().split(" ")[1]);
                  connection.note(
                      connection.readHttpHead().isEmpty() ? "dropped" : "requested again");
                  connection.writeHttpResponse(200, list(9, true, cache[0], "ready"));
                });
        TestPeer secondDiscovery = new TestPeer(discoveryScript);
        TestPeer thirdDiscovery = new TestPeer(discoveryScript);
        TestPeer.Connection client = start(cache[0], oldDiscovery)) {
      assertTrue(oldDiscovery.note().startsWith("/registry/instances?after=4&wait_ms="));
      for (TestPeer newDiscovery : List.of(secondDiscovery, thirdDiscovery)) {
        newConfigs.add(config(cache[0], newDiscovery));
        router.reload();
        assertEquals("/registry/instances", newDiscovery.note());
        assertTrue(newDiscovery.note().startsWith("/registry/instances?after=1&wait_ms="));
      }
      assertEquals("dropped", oldDiscovery.note());
      assertEquals("dropped", secondDiscovery.note());
      client.write(GET);
      assertTrue(
          client.readResponse().startsWith("-BUSY"),
          "the new list is active, in which the only cache server drains");
      assertEquals(List.of(), thirdDiscovery.remainingNotes());
    } finally {
      cache[0].close();
    }
  }

  /** An unreadable file must neither stop the router nor end its watch. */
  @Test
  void failedReloadChangesNothing() throws Exception {
    TestPeer[] caches = {respondingCache()};
    try (TestPeer cache = caches[0];
        TestPeer discovery =
            new TestPeer(
                connection -> {
                  connection.note(connection.readHttpHead().split(" ")[1]);
                  finished.await();
                  connection.writeHttpResponse(200, list(5, false, caches[0], "ready"));
                  connection.note(connection.readHttpHead().split(" ")[1]);
                });
        TestPeer.Connection client = start(cache, discovery)) {
      assertTrue(discovery.note().startsWith("/registry/instances?after=4&wait_ms="));
      router.reload();
      finished.await();
      assertTrue(discovery.note().startsWith("/registry/instances?after=5&wait_ms="));
      assertEquals(1, discovery.connections());
      client.write(GET);
      assertEquals("$2\r\nva", client.readResponse());
    }
  }

  /**
   * Accepted requests are answered, idle connections are closed, and then the listener is closed.
   */
  @Test
  void drainAnswersAcceptedRequestsAndClosesIdleConnections() throws Exception {
    CountDownLatch resumeCache = new CountDownLatch(1);
    try (TestPeer cache = cacheRespondingAfter(resumeCache);
        TestPeer.Connection client = start(cache, silentDiscovery);
        TestPeer.Connection idle = TestPeer.Connection.to(router.address())) {
      idle.write("*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", idle.readResponse());
      client.write(GET);
      cache.note();
      FutureTask<Void> drain = drain();
      try (TestPeer.Connection late = TestPeer.Connection.to(router.address())) {
        late.write("*1\r\n$4\r\nPING\r\n");
        assertEquals(
            "+PONG", late.readResponse(), "new connections still arrive after the announcement");
        assertEquals("end", late.readResponse());
      }
      assertEquals("end", idle.readResponse());
      resumeCache.countDown();
      assertEquals("$2\r\nva", client.readResponse());
      assertEquals("end", client.readResponse());
      idle.disconnect();
      client.disconnect();
      drain.get();
      assertEquals(Lifecycle.Phase.STOPPED, lifecycle.phase());
      assertThrows(IOException.class, () -> TestPeer.Connection.to(router.address()));
    }
  }

  /**
   * The process is killed 3.7 s after the announcement, so longer deadlines must not be waited for.
   */
  @Test
  void drainFailsRequestsBeforeProcessIsKilled() throws Exception {
    settings = Samples.read("classes.0.hard_limit", "60000000000");
    try (TestPeer cache =
            new TestPeer(
                connection -> {
                  connection.readCommand();
                  connection.note("received");
                  finished.await();
                });
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      client.write(GET.replace("$13\r\nc=read,d=1500", "$14\r\nc=read,d=60000"));
      assertEquals("received", cache.note());
      FutureTask<Void> drain = drain();
      // Fails long before the request's deadline and within the socket timeout of the test client.
      assertEquals("-ERR failed", client.readResponse());
      client.disconnect();
      drain.get();
    }
  }

  /** At the connection limit a new client replaces an idle one. */
  @Test
  void evictsIdleConnectionsForNewOnes() throws Exception {
    try (TestPeer cache = respondingCache();
        TestPeer.Connection first = start(cache, silentDiscovery)) {
      first.write(GET);
      assertEquals("$2\r\nva", first.readResponse());
      List<TestPeer.Connection> clients = new ArrayList<>();
      for (int i = 0; i < ConnectionBudget.of(SOCKETS, MEMORY_MB).clients() + 5; i++) {
        TestPeer.Connection connection = TestPeer.Connection.to(router.address());
        clients.add(connection);
        connection.write("*1\r\n$4\r\nPING\r\n");
        assertEquals("+PONG", connection.readResponse());
      }
      assertEquals("end", first.readResponse());
      clients.forEach(TestPeer.Connection::disconnect);
    }
  }

  @Test
  void forwardsLargeValuesInBothDirections() throws Exception {
    String value = "v".repeat(1 << 16);
    try (TestPeer cache =
            new TestPeer(
                connection -> {
                  for (String c = connection.readCommand();
                      !c.equals("end");
                      c = connection.readCommand()) {
                    connection.note(c.endsWith(" " + value) ? "whole" : "cut");
                    connection.write("*3\r\n$65536\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n");
                  }
                });
        TestPeer.Connection client = start(cache, silentDiscovery)) {
      for (int i = 0; i < 3; i++) {
        client.write(
            "*5\r\n$5\r\nC.SET\r\n$1\r\na\r\n"
                + RespWriter.bulk("id" + i)
                + RespWriter.bulk("c=put,d=1900,k=" + i)
                + RespWriter.bulk(value));
        assertEquals("$65536\r\n" + value, client.readResponse());
        assertEquals("whole", cache.note());
      }
    }
  }

  /** Responses of 4 MiB. */
  @Nested
  @Timeout(60)
  class LargeResponses {
    private static final String HEAD = "$" + (4 << 20) + "\r\n";
    private static final String HALF = "x".repeat(2 << 20);
    private static final long SETTLE_NANOS = 25_000_000;
    private static final String GET_LARGE = GET.replace("a1", "b2").replace("id", "xl");
    private final CountDownLatch resume = new CountDownLatch(1);

    /** Whether the cache server keeps only its first connection open after a small response. */
    private volatile boolean closesOtherConnections;

    private final TestPeer cache =
        new TestPeer(
            connection -> {
              for (String c = connection.readCommand();
                  !c.equals("end");
                  c = connection.readCommand()) {
                if (c.contains(" xl ")) {
                  connection.write("*3\r\n" + HEAD + HALF);
                  resume.await();
                  connection.write(HALF + "\r\n$3\r\nhit\r\n$-1\r\n");
                } else {
                  connection.write(VALUE);
                  if (connection.isFirst()) {
                    connection.note("reused");
                  } else if (closesOtherConnections) {
                    return;
                  }
                }
              }
            });

    @AfterEach
    void closeCache() {
      cache.close();
    }

    /**
     * Returns a client that has received the first half of a response, before the cache server has
     * sent the second.
     */
    private TestPeer.Connection startLargeResponse() throws IOException, ProtocolException {
      TestPeer.Connection client = start(cache, silentDiscovery);
      client.write(GET_LARGE);
      client.expectBytes(HEAD + HALF);
      return client;
    }

    /** Once it has settled, the connection of a streamed response serves other requests. */
    @Test
    void streamsResponseAndReusesConnection() throws Exception {
      // The router prefers connections that settled later, and closes the oldest one at its limit.
      closesOtherConnections = true;
      try (TestPeer.Connection client = startLargeResponse()) {
        resume.countDown();
        client.expectBytes(HALF + "\r\n");
        while (!cache.remainingNotes().contains("reused")) {
          awaitSettled();
          client.write(GET);
          assertEquals("$2\r\nva", client.readResponse());
        }
      }
    }

    /** Waits until the connection of a response that the client has received may have settled. */
    private static void awaitSettled() throws Exception {
      long receivedNanos = System.nanoTime();
      TestPeer.until(() -> System.nanoTime() - receivedNanos > SETTLE_NANOS);
    }

    /**
     * What a slow client does not read stays in its own cache server connection and delays no one
     * else.
     */
    @Test
    void slowReaderDoesNotDelayOthers() throws Exception {
      resume.countDown();
      try (TestPeer.Connection slow = start(cache, silentDiscovery);
          TestPeer.Connection other = TestPeer.Connection.to(router.address())) {
        slow.write(GET_LARGE);
        slow.expectBytes(HEAD);
        for (int i = 0; i < 50; i++) {
          other.write(GET);
          assertEquals("$2\r\nva", other.readResponse());
        }
        slow.expectBytes(HALF + HALF + "\r\n");
      }
    }

    private TestPeer truncatingCache() {
      return new TestPeer(
          connection -> {
            String command = connection.readCommand();
            if (command.contains(" xl ")) {
              connection.write("*3\r\n" + HEAD + HALF);
              resume.await();
            } else {
              connection.note(command);
              connection.write(VALUE);
            }
          });
    }

    /**
     * Guards against commands that are run and never answered, as the response before breaks off.
     */
    @Test
    void commandsBehindTruncatedResponseAreAnswered() throws Exception {
      try (TestPeer truncatingCache = truncatingCache();
          TestPeer.Connection client = start(truncatingCache, silentDiscovery)) {
        client.write(GET_LARGE + GET);
        assertTrue(truncatingCache.note().contains(" id "));
        resume.countDown();
        assertTrue(client.readResponse().startsWith("-"), "the response that broke off");
        assertEquals("$2\r\nva", client.readResponse());
      }
    }

    /** As above, for a command that is sent while the response is streamed. */
    @Test
    void readsNoCommandBehindStreamedResponse() throws Exception {
      try (TestPeer truncatingCache = truncatingCache();
          TestPeer.Connection client = start(truncatingCache, silentDiscovery);
          TestPeer.Connection other = TestPeer.Connection.to(router.address())) {
        client.write(GET_LARGE);
        client.expectBytes(HEAD + HALF);
        client.write(GET);
        for (int i = 0; i < 5; i++) {
          other.write(GET.replace("id", "ot"));
          assertEquals("$2\r\nva", other.readResponse());
        }
        resume.countDown();
        assertThrows(IOException.class, () -> client.expectBytes(HALF));
        assertTrue(
            truncatingCache.remainingNotes().stream().noneMatch(note -> note.contains(" id ")));
      }
    }

    @Test
    void servesCommandsThatArriveWhileResponseIsStreamed() throws Exception {
      try (TestPeer.Connection client = startLargeResponse()) {
        client.write(GET + GET.replace("id", "it"));
        resume.countDown();
        client.expectBytes(HALF + "\r\n");
        assertEquals("$2\r\nva", client.readResponse());
        assertEquals("$2\r\nva", client.readResponse());
      }
    }

    static List<String> truncatedRests() {
      return List.of("", HALF + "xx", HALF + "\r\n+odd\r\n");
    }

    @ParameterizedTest(name = "{index}")
    @MethodSource("truncatedRests")
    void truncatedResponseClosesClientConnection(String rest) throws Exception {
      try (TestPeer truncatingCache =
              new TestPeer(
                  connection -> {
                    connection.readCommand();
                    connection.write("*3\r\n" + HEAD + HALF + rest);
                  });
          TestPeer.Connection client = start(truncatingCache, silentDiscovery)) {
        client.write(GET_LARGE);
        assertThrows(
            EOFException.class, () -> client.expectBytes(HEAD + HALF + HALF + "\r\n"), rest);
      }
    }

    @Test
    void drainWaitsForStreamedResponse() throws Exception {
      try (TestPeer.Connection client = startLargeResponse()) {
        FutureTask<Void> stop = drain();
        resume.countDown();
        client.expectBytes(HALF + "\r\n");
        assertNull(client.read());
        client.disconnect();
        stop.get();
      }
    }

    /** Recognizes only complete heads of large responses within the size limit. */
    @Test
    void detectsLargeResponseFromItsHead() {
      String head = "*3\r\n" + HEAD;
      for (int i = 0; i < head.length(); i++) {
        assertNull(LargeResponseStream.at(Bytes.buffer(head.substring(0, i))));
      }
      assertNotNull(LargeResponseStream.at(Bytes.buffer(head)));
      for (String invalidHead :
          new String[] {
            "*3\r\n$65536\r\n",
            "*3\r\n$4194305\r\n",
            "*3\r\n$99999999999999\r\n",
            "*2\r\n$70000\r\n",
            "$70000\r\n",
            "*3\r\n$-1\r\n",
            "*3\r\n$70000\n\n"
          }) {
        assertNull(LargeResponseStream.at(Bytes.buffer(invalidHead)), invalidHead);
      }
    }
  }
}
