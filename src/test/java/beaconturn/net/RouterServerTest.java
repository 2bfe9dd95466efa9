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

/** A whole router between a client, a cache server and discovery of the test's own. */
class RouterServerTest {
  private static final String VALUE = "*3\r\n$2\r\nva\r\n$3\r\nhit\r\n$-1\r\n";
  private static final String GET =
      "*4\r\n$5\r\nC.GET\r\n$16\r\n00000000000000a1\r\n$2\r\nid\r\n$13\r\n" + "c=read,d=1500\r\n";
  private static final ProcessEnvironment OPERATED =
      new ProcessEnvironment(new InetSocketAddress("127.0.0.1", 0), false, null);
  private static final int SOCKETS = 100;
  private static final int MEMORY_MB = 192;
  private final CountDownLatch over = new CountDownLatch(1);
  private final Lifecycle lifecycle = new Lifecycle();
  private final TestPeer silentRegistry =
      new TestPeer(
          line -> {
            line.httpHead();
            over.await();
          });
  private final BlockingQueue<RouterConfig> newConfigs = new LinkedBlockingQueue<>();
  private ProcessEnvironment surroundings = ProcessEnvironment.NONE;
  private RouterSettings settings = Samples.read();
  private RouterServer router;

  @AfterEach
  void end() {
    over.countDown();
    silentRegistry.close();
  }

  /** Begins a planned stop, which goes on beside the test. */
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

  private static String list(int version, boolean whole, TestPeer cache, String health) {
    return "{\"seq\":"
        + version
        + ",\"whole\":"
        + whole
        + ",\"hosts\":[{\"host\":\"s-1\",\"dial\":\""
        + cache.dial()
        + "\",\"site\":\"east\",\"class\":\"small\",\"block\":0,\"health\":\""
        + health
        + "\",\"share\":1.0,\"born_ms\":0}]}";
  }

  private RouterConfig config(TestPeer cache, TestPeer registry) throws ProtocolException {
    return config(new InetSocketAddress("127.0.0.1", 0), cache, registry);
  }

  private RouterConfig config(InetSocketAddress listen, TestPeer cache, TestPeer registry)
      throws ProtocolException {
    EndpointUpdate known =
        new EndpointListParser(settings)
            .readInitial(JsonReader.read(Slice.of(list(4, true, cache, "ready"))));
    return new RouterConfig(
        "r1",
        listen,
        registry.address(),
        1,
        SOCKETS,
        MEMORY_MB,
        known,
        settings,
        surroundings,
        new Json.Null());
  }

  /**
   * What a reload finds: the next configuration that the test has laid ready, or none that is
   * readable.
   */
  private RouterConfig reread() throws ConfigException {
    RouterConfig next = newConfigs.poll();
    if (next == null) {
      over.countDown();
      throw new ConfigException("nothing there");
    }
    return next;
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
  }

  /**
   * A stop that comes while the router starts finds no listener to close: none may be bound after
   * it.
   */
  @Test
  void aRouterThatIsToldToStopWhileItStartsAcceptsNobody() throws Exception {
    InetSocketAddress address = freeAddress();
    try (TestPeer cache = answering()) {
      router = new RouterServer(config(address, cache, silentRegistry), this::reread, lifecycle);
      router.drain();
      router.start();
      assertThrows(ConnectException.class, () -> TestPeer.Line.to(address));
    }
  }

  /**
   * What the kernel accepts is owed an answer: a router that still starts must not have it
   * accepted.
   */
  @Test
  void nobodyIsAcceptedBeforeTheRouterServes() throws Exception {
    InetSocketAddress address = freeAddress();
    try (TestPeer cache = answering()) {
      router = new RouterServer(config(address, cache, silentRegistry), this::reread, lifecycle);
      assertThrows(ConnectException.class, () -> TestPeer.Line.to(address));
      router.start();
      try (TestPeer.Line client = TestPeer.Line.to(address)) {
        client.write("*1\r\n$4\r\nPING\r\n");
        assertEquals("+PONG", client.answer());
        client.write(GET);
        client.answer();
        assertEquals("C.GET", cache.note().split(" ")[0], "the list that it knew is in force");
      }
    }
  }

  /**
   * There the module asks for nothing, and a router that did not watch would never hear of a drain.
   */
  @Test
  void aDrainIsHeardAlsoWhereSettingsSayThatListsArePushed() throws Exception {
    settings = Samples.read("discovery", "push");
    try (TestPeer cache = answering();
        TestPeer registry =
            new TestPeer(
                line -> {
                  line.note(line.httpHead().split(" ")[1]);
                  line.http(200, list(5, false, cache, "draining"));
                  line.httpHead();
                  over.await();
                });
        TestPeer.Line client = start(cache, registry)) {
      assertEquals("/registry/instances?after=4&wait_ms=1", registry.note());
      client.write(GET);
      assertTrue(client.answer().startsWith("-BUSY"));
      assertEquals(List.of(), cache.notesLeft());
    }
  }

  /**
   * What discovery has may count as told from a process's first moment: nobody is accepted before
   * its word.
   */
  @Test
  void nobodyIsAcceptedBeforeDiscoveryHasBeenHeard() throws Exception {
    InetSocketAddress address = freeAddress();
    try (TestPeer cache = answering();
        TestPeer registry =
            new TestPeer(
                line -> {
                  line.httpHead();
                  try (TestPeer.Line early = TestPeer.Line.to(address)) {
                    early.write("x");
                    line.note("accepted before discovery was heard");
                  } catch (ConnectException e) {
                    line.note("nobody is accepted yet");
                  }
                  line.http(200, list(5, false, cache, "ready"));
                  line.httpHead();
                  over.await();
                })) {
      router =
          new RouterServer(
              new RouterInputs(
                  config(address, cache, registry),
                  this::reread,
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
      assertEquals("nobody is accepted yet", registry.note());
    }
  }

  private TestPeer.Line start(TestPeer cache, TestPeer registry)
      throws IOException, ProtocolException {
    RouterConfig config = config(cache, registry);
    router = new RouterServer(config, this::reread, lifecycle);
    router.start();
    return TestPeer.Line.to(router.address());
  }

  private static TestPeer answering() {
    return new TestPeer(
        line -> {
          for (String c = line.command(); !c.equals("end"); c = line.command()) {
            line.note(c);
            line.write(VALUE);
          }
          line.note("end");
        });
  }

  private static TestPeer answeringAfter(CountDownLatch slow) {
    return new TestPeer(
        line -> {
          line.command();
          line.note("begun");
          slow.await();
          line.write(VALUE);
          line.command();
        });
  }

  @Test
  void aRequestGoesToTheCacheServerAndItsAnswerToTheClient() throws Exception {
    try (TestPeer cache = answering();
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write("*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", client.answer());
      client.write(
          "*5\r\n$5\r\nC.SET\r\n$16\r\n00000000000000a1\r\n$2\r\nid\r\n$17\r\n"
              + "c=put,d=1500,k=k7\r\n$1\r\nx\r\n");
      assertEquals("$2\r\nva", client.answer());
      String[] words = cache.note().split(" ");
      assertEquals("C.SET 00000000000000a1 id", String.join(" ", words[0], words[1], words[2]));
      assertTrue(words[3].matches("c=put,d=[0-9]{1,4},k=k7"), words[3]);
      assertTrue(Integer.parseInt(words[3].replaceAll(".*d=([0-9]+).*", "$1")) <= 1500, words[3]);
      assertEquals("x", words[4]);
    }
  }

  @Test
  void answersComeInTheOrderOfTheCommands() throws Exception {
    CountDownLatch slow = new CountDownLatch(1);
    try (TestPeer cache = answeringAfter(slow);
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write(
          GET + "*1\r\n$4\r\nPING\r\n*1\r\n$5\r\nHELLO\r\n*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n");
      cache.note();
      slow.countDown();
      assertEquals("$2\r\nva", client.answer());
      assertEquals("+PONG", client.answer());
      assertEquals("-ERR unknown command", client.answer());
      assertEquals("+OK", client.answer());
    }
  }

  @Test
  void aClientThatLeavesCallsItsRequestOff() throws Exception {
    try (TestPeer cache =
            new TestPeer(
                line -> {
                  line.command();
                  line.note("begun");
                  line.note(line.command());
                });
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write(GET);
      assertEquals("begun", cache.note());
      client.hangUp();
      assertEquals("broken", cache.note());
    }
  }

  @Test
  void malformedInputGetsOneErrorAfterWhatCameBeforeItAndEnds() throws Exception {
    try (TestPeer cache = answering();
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write(GET + "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + GET);
      assertEquals("$2\r\nva", client.answer());
      assertTrue(client.answer().startsWith("-ERR "));
      assertEquals("end", client.answer());
    }
  }

  @Test
  void requestsThatLackWhatTheyNeedAreRejectedInTheirPlace() throws Exception {
    try (TestPeer cache = answering();
        TestPeer.Line first = start(cache, silentRegistry)) {
      first.hangUp();
      for (String wrong :
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
        rejected("a", "id", wrong);
      }
      assertEquals(List.of(), cache.notesLeft());
    }
  }

  /** One error in its place, and what stands behind it is answered. */
  private void rejected(String key, String id, String attributes) throws Exception {
    try (TestPeer.Line client = TestPeer.Line.to(router.address())) {
      client.write(
          "*4\r\n$5\r\nC.GET\r\n"
              + RespWriter.bulk(key)
              + RespWriter.bulk(id)
              + RespWriter.bulk(attributes)
              + "*1\r\n$4\r\nPING\r\n");
      assertTrue(client.answer().startsWith("-ERR "), attributes);
      assertEquals("+PONG", client.answer(), attributes);
    }
  }

  /** A cache server turns such names away, and its errors would be held against it. */
  @Test
  void keysAndIdsThatNoCacheServerCouldUseReachNone() throws Exception {
    try (TestPeer cache = answering();
        TestPeer.Line first = start(cache, silentRegistry)) {
      first.hangUp();
      for (String wrong : new String[] {"", "a b", "a\u0001b", "x".repeat(200), "a\u007f"}) {
        rejected(wrong, "id", "c=read,d=100");
        rejected("key", wrong, "c=read,d=100");
      }
      assertEquals(List.of(), cache.notesLeft());
    }
  }

  /**
   * Served, refused, failed, abandoned, unreadable: each counts once at the most, nothing stays
   * open.
   */
  @Test
  void everyRequestEndsInOneOfTheFigures() throws Exception {
    surroundings = OPERATED;
    try (TestPeer cache =
            new TestPeer(
                line -> {
                  for (String c = line.command(); !c.equals("end"); c = line.command()) {
                    if (c.contains(" hang ")) {
                      line.note("hang");
                      line.note(line.command());
                    }
                    line.write(c.contains(" bad ") ? "-ERR failed\r\n" : VALUE);
                  }
                });
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write(GET + write("bad") + GET.replace("id", "i2"));
      assertEquals("$2\r\nva", client.answer());
      assertEquals("-ERR failed", client.answer());
      assertEquals("$2\r\nva", client.answer());
      client.write(write("hang"));
      assertEquals("hang", cache.note());
      assertEquals("1", figures("current"));
      client.hangUp();
      assertEquals("broken", cache.note());
      rejected("a", "id", "c=none,d=100");
      assertEquals("ACK\n", call("disable-server s-1"));
      try (TestPeer.Line other = TestPeer.Line.to(router.address())) {
        other.write(GET);
        assertTrue(other.answer().startsWith("-BUSY"));
      }
      // A request is counted once its answer is written: the client may have it before.
      TestPeer.until(
          () ->
              figures(
                      "answered.read",
                      "deferred.read",
                      "answered.ack",
                      "errored.ack",
                      "sends",
                      "current",
                      "cluster_size")
                  .equals("2 1 0 1 4 0 1"));
      TestPeer.until(() -> figures("cluster_unhealthy").equals("1"));
      assertEquals("NAK no cache server has this id\n", call("disable-server s-2"));
    }
  }

  /**
   * New clients name the new class at once; what is open ends under the class that it was taken
   * with.
   */
  @Test
  void aClassThatIsDroppedKeepsItsOpenRequestsAndItsFigures() throws Exception {
    surroundings = OPERATED;
    CountDownLatch slow = new CountDownLatch(1);
    try (TestPeer cache = answeringAfter(slow);
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write(GET);
      assertEquals("begun", cache.note());
      settings = Samples.read("classes.0.name", "fresh");
      newConfigs.add(config(cache, silentRegistry));
      router.reload();
      TestPeer.until(() -> figures("conf_loaded").equals("1"));
      rejected("a", "i2", "c=read,d=100");
      slow.countDown();
      assertEquals("$2\r\nva", client.answer());
      // It is counted once it is written: the client may have it before.
      TestPeer.until(() -> figures("answered.read", "answered.fresh").equals("1 0"));
    }
  }

  /** A client that was sent off under longer deadlines cannot know of the new ones yet. */
  @Test
  void aWaitOfTheSettingsBeforeIsStillInRange() throws Exception {
    surroundings = OPERATED;
    try (TestPeer cache = answering();
        TestPeer.Line client = start(cache, silentRegistry)) {
      settings = Samples.read("classes.0.hard_limit", "500000000");
      newConfigs.add(config(cache, silentRegistry));
      router.reload();
      TestPeer.until(() -> figures("conf_loaded").equals("1"));
      client.write(GET);
      assertEquals("$2\r\nva", client.answer());
      rejected("a", "i2", "c=read,d=4001");
    }
  }

  private static String write(String id) {
    return "*5\r\n$5\r\nC.SET\r\n$16\r\n00000000000000a1\r\n"
        + RespWriter.bulk(id)
        + "$17\r\nc=ack,d=1500,k=k7\r\n$1\r\nx\r\n";
  }

  private String call(String line) throws IOException {
    try (TestPeer.Line caller = TestPeer.Line.to(router.adminAddress())) {
      caller.write(line + "\n");
      return caller.rest();
    }
  }

  /** The values of these figures, as shown at one call. */
  private String figures(String... names) throws IOException {
    String shown = call("show-stat");
    return String.join(
        " ",
        Stream.of(names)
            .map(name -> shown.replaceAll("(?s).*\\bapp." + name + ":([0-9]+)[|].*", "$1"))
            .toList());
  }

  /** Two open requests of one id could get each other's answers. */
  @Test
  void anIdThatIsOpenIsTurnedAwayAndTheFirstKeepsItsAnswer() throws Exception {
    CountDownLatch slow = new CountDownLatch(1);
    try (TestPeer cache = answeringAfter(slow);
        TestPeer.Line client = start(cache, silentRegistry);
        TestPeer.Line other = TestPeer.Line.to(router.address())) {
      client.write(GET);
      cache.note();
      other.write(GET + "*1\r\n$4\r\nPING\r\n");
      assertTrue(other.answer().startsWith("-ERR "));
      assertEquals("+PONG", other.answer());
      slow.countDown();
      assertEquals("$2\r\nva", client.answer());
    }
  }

  /**
   * Clients that send half a command hold no place that others need: they would look at work, and
   * the one thread that accepts would wait for them.
   */
  @Test
  void manyHalfSentCommandsDoNotKeepOtherClientsOut() throws Exception {
    try (TestPeer cache = answering();
        TestPeer.Line first = start(cache, silentRegistry)) {
      first.hangUp();
      List<TestPeer.Line> half = new ArrayList<>();
      for (int i = 0; i < 2 * ConnectionBudget.of(SOCKETS, MEMORY_MB).clients(); i++) {
        TestPeer.Line line = TestPeer.Line.to(router.address());
        half.add(line);
        line.write("*4\r\n$5\r\nC.G");
      }
      assertEquals("$2\r\nva", answerOnSomeConnection());
      half.forEach(TestPeer.Line::hangUp);
    }
  }

  /** One that is turned away at the most connections comes again on a new one, as clients do. */
  private String answerOnSomeConnection() throws Exception {
    String answer = "end";
    while (answer.equals("end")) {
      try (TestPeer.Line client = TestPeer.Line.to(router.address())) {
        client.write(GET);
        answer = client.answer();
      } catch (IOException e) {
        answer = "end";
      }
    }
    return answer;
  }

  @Test
  void whenNothingAnswersTheClientIsToldInItsTime() throws Exception {
    try (TestPeer cache =
            new TestPeer(
                line -> {
                  line.command();
                  over.await();
                });
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write(GET.replace("d=1500", "d=0150"));
      assertTrue(client.answer().startsWith("-BUSY"));
    }
  }

  /** Discovery counts a watch as broken if the next call comes late, and the version must go on. */
  @Test
  void aWatchGoesOnFromTheVersionItHasHeardOf() throws Exception {
    TestPeer[] cache = {answering()};
    try (TestPeer registry =
            new TestPeer(
                line -> {
                  line.note(line.httpHead().split(" ")[1]);
                  line.http(200, list(5, false, cache[0], "draining"));
                  line.note(line.httpHead().split(" ")[1]);
                  over.await();
                });
        TestPeer.Line client = start(cache[0], registry)) {
      assertTrue(registry.note().startsWith("/registry/instances?after=4&wait_ms="));
      assertTrue(registry.note().startsWith("/registry/instances?after=5&wait_ms="));
      client.write(GET);
      assertTrue(client.answer().startsWith("-BUSY"), "the only cache server is draining");
      assertEquals(1, registry.connections());
    } finally {
      cache[0].close();
    }
  }

  @Test
  void aWatchThatFailsIsBegunAgainAndTheListStaysInForce() throws Exception {
    try (TestPeer cache = answering();
        TestPeer registry =
            new TestPeer(
                line -> {
                  line.note(line.httpHead().split("&wait_ms=")[0]);
                  line.http(503, "");
                });
        TestPeer.Line client = start(cache, registry)) {
      String first = registry.note();
      assertEquals(first, registry.note());
      assertEquals(first, registry.note());
      client.write(GET);
      assertEquals("$2\r\nva", client.answer());
    }
  }

  /**
   * A new configuration names another discovery: the open watch on the old one ends, though it
   * never answered, and the new one is asked for the whole list at once, as its versions are its
   * own.
   */
  @Test
  void aReloadMovesTheWatchToTheNewAddressAgainAndAgain() throws Exception {
    TestPeer[] cache = {answering()};
    TestPeer.Script serving =
        line -> {
          line.note(line.httpHead().split(" ")[1]);
          line.http(200, list(1, true, cache[0], "draining"));
          line.note(line.httpHead().split(" ")[1]);
          line.note(line.httpHead().isEmpty() ? "dropped" : "asked again");
        };
    try (TestPeer old =
            new TestPeer(
                line -> {
                  line.note(line.httpHead().split(" ")[1]);
                  line.note(line.httpHead().isEmpty() ? "dropped" : "asked again");
                  line.http(200, list(9, true, cache[0], "ready"));
                });
        TestPeer second = new TestPeer(serving);
        TestPeer third = new TestPeer(serving);
        TestPeer.Line client = start(cache[0], old)) {
      assertTrue(old.note().startsWith("/registry/instances?after=4&wait_ms="));
      for (TestPeer next : List.of(second, third)) {
        newConfigs.add(config(cache[0], next));
        router.reload();
        assertEquals("/registry/instances", next.note());
        assertTrue(next.note().startsWith("/registry/instances?after=1&wait_ms="));
      }
      assertEquals("dropped", old.note());
      assertEquals("dropped", second.note());
      client.write(GET);
      assertTrue(
          client.answer().startsWith("-BUSY"), "the new list counts: the cache server drains");
      assertEquals(List.of(), third.notesLeft());
    } finally {
      cache[0].close();
    }
  }

  /** A file that cannot be read must neither stop the router nor end the watch that it has. */
  @Test
  void aReloadThatFindsNothingReadableLeavesEverythingAsItIs() throws Exception {
    TestPeer[] caches = {answering()};
    try (TestPeer cache = caches[0];
        TestPeer registry =
            new TestPeer(
                line -> {
                  line.note(line.httpHead().split(" ")[1]);
                  over.await();
                  line.http(200, list(5, false, caches[0], "ready"));
                  line.note(line.httpHead().split(" ")[1]);
                });
        TestPeer.Line client = start(cache, registry)) {
      assertTrue(registry.note().startsWith("/registry/instances?after=4&wait_ms="));
      router.reload();
      over.await();
      assertTrue(registry.note().startsWith("/registry/instances?after=5&wait_ms="));
      assertEquals(1, registry.connections());
      client.write(GET);
      assertEquals("$2\r\nva", client.answer());
    }
  }

  /**
   * A planned stop: what was taken is answered, connections end between requests, then nobody
   * listens.
   */
  @Test
  void aDrainAnswersWhatItHasTakenAndClosesBetweenRequests() throws Exception {
    CountDownLatch slow = new CountDownLatch(1);
    try (TestPeer cache = answeringAfter(slow);
        TestPeer.Line client = start(cache, silentRegistry);
        TestPeer.Line idle = TestPeer.Line.to(router.address())) {
      idle.write("*1\r\n$4\r\nPING\r\n");
      assertEquals("+PONG", idle.answer());
      client.write(GET);
      cache.note();
      FutureTask<Void> drain = drain();
      try (TestPeer.Line late = TestPeer.Line.to(router.address())) {
        late.write("*1\r\n$4\r\nPING\r\n");
        assertEquals("+PONG", late.answer(), "new connections still come after the announcement");
        assertEquals("end", late.answer());
      }
      assertEquals("end", idle.answer());
      slow.countDown();
      assertEquals("$2\r\nva", client.answer());
      assertEquals("end", client.answer());
      idle.hangUp();
      client.hangUp();
      drain.get();
      assertEquals(Lifecycle.Phase.STOPPED, lifecycle.phase());
      assertThrows(IOException.class, () -> TestPeer.Line.to(router.address()));
    }
  }

  /**
   * The process is killed 3.7 s after the announcement at the latest, however long clients would
   * wait.
   */
  @Test
  void aDrainWaitsForNoLongerThanTheProcessLives() throws Exception {
    settings = Samples.read("classes.0.hard_limit", "60000000000");
    try (TestPeer cache =
            new TestPeer(
                line -> {
                  line.command();
                  line.note("begun");
                  over.await();
                });
        TestPeer.Line client = start(cache, silentRegistry)) {
      client.write(GET.replace("$13\r\nc=read,d=1500", "$14\r\nc=read,d=60000"));
      assertEquals("begun", cache.note());
      FutureTask<Void> drain = drain();
      // Long before the deadline, and in the time that the test's clients wait for anything.
      assertEquals("-ERR failed", client.answer());
      client.hangUp();
      drain.get();
    }
  }

  /** At the most connections a new client takes the place of one that is between requests. */
  @Test
  void quietConnectionsMakeRoomForNewOnes() throws Exception {
    try (TestPeer cache = answering();
        TestPeer.Line first = start(cache, silentRegistry)) {
      first.write(GET);
      assertEquals("$2\r\nva", first.answer());
      List<TestPeer.Line> more = new ArrayList<>();
      for (int i = 0; i < ConnectionBudget.of(SOCKETS, MEMORY_MB).clients() + 5; i++) {
        TestPeer.Line line = TestPeer.Line.to(router.address());
        more.add(line);
        line.write("*1\r\n$4\r\nPING\r\n");
        assertEquals("+PONG", line.answer());
      }
      assertEquals("end", first.answer());
      more.forEach(TestPeer.Line::hangUp);
    }
  }

  @Test
  void largeValuesGoThroughWholeInBothDirections() throws Exception {
    String value = "v".repeat(1 << 16);
    try (TestPeer cache =
            new TestPeer(
                line -> {
                  for (String c = line.command(); !c.equals("end"); c = line.command()) {
                    line.note(c.endsWith(" " + value) ? "whole" : "cut");
                    line.write("*3\r\n$65536\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n");
                  }
                });
        TestPeer.Line client = start(cache, silentRegistry)) {
      for (int i = 0; i < 3; i++) {
        client.write(
            "*5\r\n$5\r\nC.SET\r\n$1\r\na\r\n$2\r\nid\r\n"
                + RespWriter.bulk("c=put,d=1900,k=" + i)
                + RespWriter.bulk(value));
        assertEquals("$65536\r\n" + value, client.answer());
        assertEquals("whole", cache.note());
      }
    }
  }

  /** Answers of 4 MiB. */
  @Nested
  @Timeout(60)
  class LargeAnswers {
    private static final String HEAD = "$" + (4 << 20) + "\r\n";
    private static final String HALF = "x".repeat(2 << 20);
    private static final String LARGE = GET.replace("a1", "b2").replace("id", "xl");
    private final CountDownLatch goOn = new CountDownLatch(1);
    private final TestPeer cache =
        new TestPeer(
            line -> {
              for (String c = line.command(); !c.equals("end"); c = line.command()) {
                if (c.contains(" xl ")) {
                  line.write("*3\r\n" + HEAD + HALF);
                  goOn.await();
                  line.write(HALF + "\r\n$3\r\nhit\r\n$-1\r\n");
                } else {
                  line.write(VALUE);
                }
              }
            });

    @AfterEach
    void endCache() {
      cache.close();
    }

    /**
     * A client that has the first half of an answer before its cache server has written the second.
     */
    private TestPeer.Line halfWay() throws IOException, ProtocolException {
      TestPeer.Line client = start(cache, silentRegistry);
      client.write(LARGE);
      client.expect(HEAD + HALF);
      return client;
    }

    @Test
    void theFirstHalfGoesOnBeforeTheSecondHasComeAndTheConnectionServesOn() throws Exception {
      try (TestPeer.Line client = halfWay()) {
        goOn.countDown();
        client.expect(HALF + "\r\n");
        client.write(GET);
        assertEquals("$2\r\nva", client.answer());
        assertEquals(1, cache.connections());
      }
    }

    /**
     * What it does not take waits in its own cache server's connection; the others see nothing of
     * it.
     */
    @Test
    void aClientThatStopsReadingHoldsUpNobodyElse() throws Exception {
      goOn.countDown();
      try (TestPeer.Line slow = start(cache, silentRegistry);
          TestPeer.Line other = TestPeer.Line.to(router.address())) {
        slow.write(LARGE);
        slow.expect(HEAD);
        for (int i = 0; i < 50; i++) {
          other.write(GET);
          assertEquals("$2\r\nva", other.answer());
        }
        slow.expect(HALF + HALF + "\r\n");
      }
    }

    @Test
    void anAnswerThatBreaksOffEndsItsClientsConnection() throws Exception {
      for (String rest : new String[] {"", HALF + "xx", HALF + "\r\n+odd\r\n"}) {
        try (TestPeer breaking =
                new TestPeer(
                    line -> {
                      line.command();
                      line.write("*3\r\n" + HEAD + HALF + rest);
                    });
            TestPeer.Line client = start(breaking, silentRegistry)) {
          client.write(LARGE);
          assertThrows(EOFException.class, () -> client.expect(HEAD + HALF + HALF + "\r\n"), rest);
        }
      }
    }

    @Test
    void aStopWaitsForWhatIsBeingPassedOn() throws Exception {
      try (TestPeer.Line client = halfWay()) {
        FutureTask<Void> stop = drain();
        goOn.countDown();
        client.expect(HALF + "\r\n");
        assertNull(client.read());
        client.hangUp();
        stop.get();
      }
    }

    /** Only whole heads of what is larger than usual and not beyond all bounds. */
    @Test
    void aHeadIsKnownInPiecesAndTakesNoMemoryForWhatItDeclares() {
      String head = "*3\r\n" + HEAD;
      for (int i = 0; i < head.length(); i++) {
        assertNull(LargeResponseStream.at(Bytes.buffer(head.substring(0, i))));
      }
      assertNotNull(LargeResponseStream.at(Bytes.buffer(head)));
      for (String none :
          new String[] {
            "*3\r\n$65536\r\n",
            "*3\r\n$4194305\r\n",
            "*3\r\n$99999999999999\r\n",
            "*2\r\n$70000\r\n",
            "$70000\r\n",
            "*3\r\n$-1\r\n",
            "*3\r\n$70000\n\n"
          }) {
        assertNull(LargeResponseStream.at(Bytes.buffer(none)), none);
      }
    }
  }
}
