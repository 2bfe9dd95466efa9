package beaconturn.rehearsal;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.ClassIdempotency;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigVersion;
import beaconturn.agreement.MemberRecord;
import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.rehearsal.fleet.AgentHook;
import beaconturn.rehearsal.fleet.AgentProcess;
import beaconturn.rehearsal.fleet.ChildProcesses;
import beaconturn.rehearsal.fleet.FaultProxy;
import beaconturn.rehearsal.fleet.StoreProcess;
import beaconturn.standin.Fault;
import beaconturn.standin.net.EmulatedFleetServer;
import beaconturn.zones.ZonePlan;
import beaconturn.zones.ZonesCodec;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * What a fleet that agrees has beside routers and caches: the store as a process, a link from each
 * router to it and one to discovery, the operators' file of each router, and the operators'
 * commands as processes.
 */
final class FleetEnvironment implements Closeable {
  private static final String FLEET = "/rehearsal";
  private static final int COMMAND_SECONDS = 30;
  private static final int MOST_TRIES = 8;
  private static final long AGENTS_START = 30_000_000_000L;
  private static final long LOOK_MILLIS = 20;
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private final Scenario scenario;
  private final RouterLauncher launcher;
  private final Path folder;
  private final Clock clock;
  private final History account;
  private final StoreProcess store;

  /** The version of the list that discovery has now. */
  private final LongSupplier newestList;

  private final List<FaultProxy> toStore = new ArrayList<>();
  private final List<FaultProxy> toDiscovery = new ArrayList<>();

  /** For each router one for each cache server; empty where no fault needs them. */
  private final List<List<FaultProxy>> toCaches = new ArrayList<>();

  private final List<Thread> commands = new ArrayList<>();

  /** Null where nothing is released. */
  private final AgentHook hand;

  private final List<AgentProcess> agents = new ArrayList<>();
  private final Map<Scenario.FaultSpec, List<AgentProcess>> struck = new HashMap<>();
  private String driver = "";

  /** Keys of the parts whose agents have begun to act. */
  private final Set<String> seated = new HashSet<>();

  /** Cache servers that operators hold places for, by the key of the place. */
  private final Map<String, String> places = new HashMap<>();

  /** When the store saw what first. */
  private final Map<Trigger, Long> came = new HashMap<>();

  FleetEnvironment(
      Scenario scenario,
      RouterLauncher launcher,
      Path folder,
      EmulatedFleetServer surroundings,
      Clock clock,
      History account)
      throws IOException, InterruptedException {
    this.scenario = scenario;
    this.launcher = launcher;
    this.folder = folder;
    this.clock = clock;
    this.account = account;
    this.newestList = () -> surroundings.ask(() -> surroundings.world().discovery().version());
    this.store =
        new StoreProcess(
            launcher.command(
                List.of(
                    "store-stand-in",
                    "--port",
                    "0",
                    "--log",
                    folder.resolve("store.log").toString())),
            folder.resolve("store.log"));
    for (int i = 0; i < scenario.routers().size(); i++) {
      toStore.add(new FaultProxy(store.address()));
      toDiscovery.add(new FaultProxy(surroundings.discovery(i)));
      Path kept = folder.resolve("kept-" + i);
      Files.createDirectories(kept);
      features(scenario.routers().get(i).name(), toStore.get(i).address(), kept);
    }
    if (scenario.linksToCaches()) {
      linkCaches(surroundings);
    }
    features("operator", store.address(), null);
    String said =
        command(List.of("agreement", "init", "--features", featuresOf("operator").toString()));
    if (!said.contains("is begun")) {
      throw new IOException("the agreement was not begun: " + said);
    }
    hand = scenario.release() == null ? null : new AgentHook(folder);
    if (scenario.release() != null) {
      sayFleet(scenario.release().mostOut(), scenario.release().mostOutOfSite());
    }
  }

  private String fleetFile(int mostOut, int mostOutOfSite) {
    StringBuilder out = new StringBuilder();
    group(
        out,
        "routers",
        mostOut,
        mostOutOfSite,
        scenario.routers().stream().map(Scenario.RouterSpec::name).toList());
    group(out, "caches", mostOut, mostOutOfSite, scenario.fleet().names());
    return out.toString();
  }

  private void group(
      StringBuilder out, String kind, int mostOut, int mostOutOfSite, List<String> parts) {
    out.append(
        "["
            + kind
            + "]\nmost_out = "
            + mostOut
            + "\nmost_out_of_site = "
            + mostOutOfSite
            + "\nspare = "
            + scenario.release().spare()
            + "\ncores = "
            + scenario.release().cores()
            + "\n");
    for (String site : scenario.fleet().places()) {
      List<String> here = parts.stream().filter(p -> scenario.siteOf(p).equals(site)).toList();
      if (!here.isEmpty()) {
        out.append(
            "[["
                + kind
                + ".site]]\nname = \""
                + site
                + "\"\nparts = "
                + ScenarioPrinter.words(here)
                + "\n");
      }
    }
  }

  private void sayFleet(int mostOut, int mostOutOfSite) {
    try {
      Files.writeString(folder.resolve("fleet.toml"), fleetFile(mostOut, mostOutOfSite));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    order("release", "fleet", folder.resolve("fleet.toml").toString());
  }

  /**
   * Starts the agents of all parts that may be released; of routers the second addresses are these.
   */
  void startAgents(List<InetSocketAddress> controls) throws IOException, InterruptedException {
    if (hand == null) {
      return;
    }
    List<String> parts = scenario.parts();
    for (int i = 0; i < parts.size(); i++) {
      String name = parts.get(i);
      boolean cache = scenario.release().caches();
      List<String> words =
          new ArrayList<>(
              List.of(
                  "release",
                  "agent",
                  name,
                  "--features",
                  featuresOf(cache ? "operator" : name).toString(),
                  "--apply",
                  hand.command()));
      // A router is asked itself, a cache server at all routers.
      List<InetSocketAddress> asked = cache ? controls : controls.subList(i, i + 1);
      words.addAll(
          List.of(
              "--figures",
              asked.stream().map(a -> "127.0.0.1:" + a.getPort()).collect(Collectors.joining(",")),
              "--kind",
              cache ? "cache" : "router"));
      agents.add(new AgentProcess(launcher.command(words), folder.resolve(name + ".agent.log")));
      agents.get(i).start();
    }
    // Processes that start take the machine from the play: it begins when all of them act.
    long until = clock.now() + AGENTS_START;
    while (seated.size() < agents.size()) {
      if (clock.now() > until) {
        throw new IOException("agents did not get ready, only of " + seated);
      }
      Thread.sleep(LOOK_MILLIS);
      look();
    }
  }

  /** What agents want done to routers. */
  List<AgentHook.RestartRequest> wishes() throws IOException {
    if (hand == null) {
      return List.of();
    }
    look();
    return hand.takeRequests();
  }

  /** Nothing is released any more. */
  void endAgents() {
    agents.forEach(AgentProcess::close);
  }

  /** Answers one. */
  void answer(AgentHook.RestartRequest wish, boolean ready) {
    try {
      hand.complete(wish, ready);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Has the release begun by a command of its own. */
  void release() {
    Scenario.ReleaseSpec r = scenario.release();
    try {
      StringBuilder plan =
          new StringBuilder(
              "kind = \""
                  + (r.caches() ? "cache" : "router")
                  + "\"\nsoak = \""
                  + r.soak() / MILLI
                  + "ms\"\nsamples = "
                  + r.samples()
                  + "\nworse = "
                  + r.worse()
                  + "\nworse_missed = "
                  + r.worseMissed()
                  + "\nlimit = \""
                  + r.limit() / MILLI
                  + "ms\"\nalone = \""
                  + r.alone() / MILLI
                  + "ms\"\n");
      if (r.mostTries() > 0) {
        Path settings = folder.resolve("settings.toml");
        Files.writeString(settings, "[settings]\nmost_tries = " + r.mostTries() + "\n");
        plan.append("settings = \"" + settings + "\"\n");
      }
      r.waves()
          .forEach(wave -> plan.append("[[wave]]\nparts = " + ScenarioPrinter.words(wave) + "\n"));
      Files.writeString(folder.resolve("plan.toml"), plan);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    inBackground(() -> order("release", "start", folder.resolve("plan.toml").toString()));
  }

  /** An operator's order. */
  void release(Scenario.OrderSpec spec) {
    inBackground(
        () -> {
          if (spec.what().equals("budget")) {
            sayFleet(spec.mostOut(), spec.mostOut());
          } else if (spec.what().startsWith("zone-")) {
            order("zones", spec.what().substring("zone-".length()), spec.part());
          } else if (spec.part().isEmpty()) {
            order("release", spec.what());
          } else {
            order(
                "release",
                spec.what(),
                spec.part(),
                "--kind",
                scenario.router(spec.part()) < 0 ? "cache" : "router");
          }
        });
  }

  private void inBackground(Runnable body) {
    Thread thread = new Thread(body, "operator");
    thread.setDaemon(true);
    thread.start();
    commands.add(thread);
  }

  private void order(String... words) {
    operator("as the scenario has it", words);
  }

  /** An operator's command as a process of its own; what it says also goes to the log. */
  private String operator(String reason, String... words) {
    try {
      List<String> all = new ArrayList<>(List.of(words));
      all.addAll(asOperator(reason));
      String said = command(all);
      synchronized (this) {
        Files.writeString(
            folder.resolve("operator.log"),
            said,
            StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
      }
      return said;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "";
    }
  }

  private List<AgentProcess> agents(Scenario.FaultSpec fault) {
    List<AgentProcess> all = new ArrayList<>();
    for (int i = 0; i < agents.size(); i++) {
      if (fault.target().contains(scenario.parts().get(i))
          || (fault.target().contains(ScenarioReader.DRIVER)
              && driver.endsWith("-" + agents.get(i).pid()))) {
        all.add(agents.get(i));
      }
    }
    return all;
  }

  private void beginAgents(Scenario.FaultSpec fault) {
    // Who drives may be another one at the fault's end.
    List<AgentProcess> those = agents(fault);
    struck.put(fault, those);
    those.forEach(
        a -> {
          if (fault.kind() == Fault.Kind.AGENT_KILL) {
            a.kill();
          } else {
            a.setPaused(true);
          }
        });
  }

  private void endAgents(Scenario.FaultSpec fault) {
    List<AgentProcess> those = struck.remove(fault);
    for (AgentProcess agent : those == null ? List.<AgentProcess>of() : those) {
      if (fault.kind() == Fault.Kind.AGENT_PAUSE) {
        agent.setPaused(false);
      } else {
        try {
          agent.start();
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      }
    }
  }

  private void linkCaches(EmulatedFleetServer surroundings) throws IOException {
    for (int router = 0; router < scenario.routers().size(); router++) {
      List<FaultProxy> links = new ArrayList<>();
      for (int place = 0; place < scenario.fleet().caches(); place++) {
        links.add(new FaultProxy(surroundings.cache(router, place)));
        surroundings.reachBy(router, place, links.get(place).address());
      }
      toCaches.add(links);
    }
  }

  private void features(String name, InetSocketAddress at, Path kept) throws IOException {
    Scenario.Agreement a = scenario.agreement();
    Files.writeString(
        featuresOf(name),
        "[agreement]\nendpoints = [\"127.0.0.1:"
            + at.getPort()
            + "\"]\nfleet = \""
            + FLEET
            + "\"\nlease = \""
            + a.lease() / MILLI
            + "ms\"\ndrift = "
            + a.drift()
            + "\n"
            + (kept == null ? "" : "folder = \"" + kept + "\"\n")
            + zones());
  }

  private String zones() {
    Scenario.ZonesSpec z = scenario.zones();
    if (z == null || !z.decided()) {
      return "";
    }
    StringBuilder text =
        new StringBuilder(
            "[zones]\neach_per_s = "
                + z.each()
                + "\nfetches_per_s = "
                + z.fetches()
                + "\nreserve = "
                + z.reserve()
                + "\n");
    List<String> places = scenario.fleet().places();
    for (int i = 0; i < places.size(); i++) {
      text.append(
          "[[zones.place]]\nname = \""
              + places.get(i)
              + "\"\n"
              + (z.regions().isEmpty() ? "" : "region = \"" + z.regions().get(i) + "\"\n"));
    }
    return text.toString();
  }

  /** The operators' file of a router. */
  Path featuresOf(String name) {
    return folder.resolve(name + ".toml");
  }

  /** Where the router asks for its list. */
  InetSocketAddress discovery(int router) {
    return toDiscovery.get(router).address();
  }

  /**
   * Has a version proposed by a command of its own, which may take as long as it likes; where the
   * version before it is not settled yet, again and again, as an operator would.
   */
  void propose(int number, Scenario.VersionSpec version) {
    try {
      Path file = folder.resolve("version-" + number + ".toml");
      StringBuilder content = new StringBuilder();
      version
          .unsafe()
          .forEach(
              name -> content.append("[[class]]\nname = \"" + name + "\"\neffect = \"unsafe\"\n"));
      Files.writeString(
          file,
          content
              + (version.mostTries() > 0
                  ? "[settings]\nmost_tries = " + version.mostTries() + "\n"
                  : "")
              + "[list]\nout = "
              + ScenarioPrinter.words(version.out())
              + (version.newest() ? "\noldest = " + newestList.getAsLong() : "")
              + "\n");
      inBackground(() -> proposed(number, file, version));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void proposed(int number, Path file, Scenario.VersionSpec version) {
    if (version.dies()) {
      dies(number, file, version.reason());
      return;
    }
    String said = "";
    for (int tries = 0; tries < MOST_TRIES && !said.contains("is proposed\n"); tries++) {
      said = operator(version.reason(), "agreement", "propose", file.toString());
    }
  }

  /**
   * The command is killed as soon as the store has what it proposes, whatever it still wanted to
   * do.
   */
  private void dies(int number, Path file, String reason) {
    try {
      List<String> words =
          new ArrayList<>(
              List.of(
                  "agreement",
                  "propose",
                  file.toString(),
                  "--wait",
                  Integer.toString(COMMAND_SECONDS)));
      words.addAll(asOperator(reason));
      Process process =
          ChildProcesses.start(
              new ProcessBuilder(launcher.command(words))
                  .redirectErrorStream(true)
                  .redirectOutput(folder.resolve("proposal-" + number + ".log").toFile()));
      long until = clock.now() + COMMAND_SECONDS * SECOND;
      String proposed = FLEET + "/history/" + String.format("%09d", number) + " ";
      while (process.isAlive()
          && clock.now() < until
          && !Files.readString(folder.resolve("store.log")).contains(proposed)) {
        Thread.sleep(1);
      }
      process.destroyForcibly().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<String> asOperator(String reason) {
    return List.of(
        "--reason",
        reason,
        "--author",
        "rehearsal",
        "--features",
        featuresOf("operator").toString());
  }

  private String command(List<String> words) throws IOException, InterruptedException {
    Process process = new ProcessBuilder(launcher.command(words)).redirectErrorStream(true).start();
    String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (!process.waitFor(COMMAND_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
    return said;
  }

  /** Begins a fault of a link, of so many routers, or of the store. */
  void begin(Scenario.FaultSpec fault) {
    if (fault.kind().target() == Fault.Target.AGENT) {
      beginAgents(fault);
      return;
    }
    if (fault.kind().target() == Fault.Target.STORE) {
      order(
          switch (fault.kind()) {
            case STORE_DOWN -> "down";
            case STORE_SLOW -> "slow " + (long) fault.amount() / MILLI;
            case STORE_STALE -> "freeze";
            case STORE_EMPTY -> "empty";
            case STORE_BACK -> "rewind " + (long) fault.amount();
            default -> throw new IllegalArgumentException(fault.kind().word());
          });
      return;
    }
    FaultProxy.State state =
        switch (fault.kind()) {
          case LINK_CUT, SITE_CUT -> FaultProxy.State.CUT;
          case LINK_ONE_WAY -> FaultProxy.State.ONE_WAY;
          case LINK_SLOW -> FaultProxy.State.SLOW;
          case LINK_HOLD -> FaultProxy.State.HELD;
          case LINK_RESET -> FaultProxy.State.RESETTING;
          case LINK_THROTTLE -> FaultProxy.State.THROTTLED;
          case ANSWER_LOST -> FaultProxy.State.RESPONSE_LOST;
          default -> throw new IllegalArgumentException(fault.kind().word());
        };
    links(fault).forEach(link -> become(link, state, (long) fault.amount()));
  }

  private void become(FaultProxy link, FaultProxy.State state, long amount) {
    int router = toDiscovery.indexOf(link);
    if (router >= 0) {
      account.add(
          new HistoryEvent.DiscoveryLinkChanged(
              clock.now(), router, state == FaultProxy.State.OPEN));
    }
    link.setState(state, amount);
  }

  /** Ends it. */
  void end(Scenario.FaultSpec fault) {
    switch (fault.kind()) {
      case STORE_DOWN -> order("up");
      case STORE_SLOW -> order("slow 0");
      case STORE_STALE -> order("thaw");
      case STORE_EMPTY, STORE_BACK -> {}
      case AGENT_KILL, AGENT_PAUSE -> endAgents(fault);
      default -> links(fault).forEach(link -> become(link, FaultProxy.State.OPEN, 0));
    }
  }

  /** Whether a router reaches the cache servers; nothing where no links lead there. */
  void reachesCaches(int router, FaultProxy.State state, long amount) {
    if (!toCaches.isEmpty()) {
      toCaches.get(router).forEach(link -> link.setState(state, amount));
    }
  }

  private List<FaultProxy> links(Scenario.FaultSpec fault) {
    List<FaultProxy> all = new ArrayList<>();
    for (int router = 0; router < scenario.routers().size(); router++) {
      Scenario.RouterSpec spec = scenario.routers().get(router);
      if (fault.kind() == Fault.Kind.SITE_CUT) {
        boolean inside = fault.target().contains(spec.site());
        if (inside) {
          all.add(toStore.get(router));
          all.add(toDiscovery.get(router));
        }
        all.addAll(
            caches(
                router,
                site ->
                    fault.target().contains(site) != inside
                        || (inside && !site.equals(spec.site()))));
      } else if (fault.target().contains(spec.name())) {
        switch (fault.way()) {
          case "store" -> all.add(toStore.get(router));
          case "discovery" -> all.add(toDiscovery.get(router));
          default ->
              all.addAll(
                  caches(router, site -> fault.way().equals("caches") || fault.way().equals(site)));
        }
      }
    }
    return all;
  }

  private List<FaultProxy> caches(int router, Predicate<String> sites) {
    List<FaultProxy> links = new ArrayList<>();
    for (int place = 0; place < scenario.fleet().caches(); place++) {
      if (sites.test(scenario.site(place))) {
        links.add(toCaches.get(router).get(place));
      }
    }
    return links;
  }

  private void order(String line) {
    try {
      store.execute(line);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** When the store saw it first, or -1 while it has not. */
  long cameAbout(Trigger cue) throws IOException {
    look();
    return came.getOrDefault(cue, -1L);
  }

  /** Takes in what the store saw since the last look, for the account and for cues. */
  private void look() throws IOException {
    long offset = clock.now() - System.nanoTime();
    AgreementKeys keys = new AgreementKeys(FLEET);
    String release = FLEET + "/release/";
    for (StoreProcess.StoreChange change : store.readChanges()) {
      long at = change.nanoTime() + offset;
      if (change.key().equals(release + "driver")) {
        driver = change.value() == null ? "" : change.value();
      }
      if (change.key().startsWith(keys.membersPrefix())) {
        int router =
            scenario.router(change.key().substring(keys.membersPrefix().length()).split("/")[0]);
        account.add(new HistoryEvent.MembershipChanged(at, router, change.value() != null));
      }
      String place = places.remove(change.value() == null ? change.key() : "");
      if (place != null) {
        account.add(new HistoryEvent.DrainPermitChanged(at, place, false));
      }
      if (change.value() == null) {
        continue;
      }
      try {
        if (change.key().equals(keys.commonPrefix() + "next")) {
          saw(at, Trigger.Stage.PROPOSED, ConfigCodec.decodeVersion(change.value()));
        } else if (change.key().equals(keys.commonPrefix() + "current")) {
          saw(at, Trigger.Stage.IN_FORCE, ConfigCodec.decodeVersion(change.value()));
        } else if (change.key().equals(keys.commonPrefix() + "settled")) {
          came.putIfAbsent(
              new Trigger(Trigger.Stage.SETTLED, Long.parseLong(change.value()), ""), at);
        } else if (change.key().equals(FLEET + "/zones/plan")) {
          planned(at, ZonesCodec.decodePlan(change.value()));
        } else if (change.key().startsWith(release)) {
          ofRelease(at, change.key().substring(release.length()), change.value());
        } else if (change.key().startsWith(keys.membersPrefix())) {
          MemberRecord seat = MemberRecord.decode(change.value());
          came.putIfAbsent(new Trigger(Trigger.Stage.ACKNOWLEDGED, seat.ackedNumber(), seat.name()), at);
        }
      } catch (AgreementException e) {
        throw new IOException(
            "the store held what is none of the agreement's: " + e.getMessage(), e);
      }
    }
  }

  /** What stands there of a release from now on. */
  private void ofRelease(long at, String key, String text) {
    if (key.startsWith("agent/")) {
      seated.add(key);
    } else if (key.equals("course")) {
      String mode = text.replaceAll(".*\"mode\":\"([a-z]+)\".*", "$1");
      account.add(new HistoryEvent.ReleaseCommanded(at, mode.equals("halted") ? "halt" : mode));
    } else if (key.equals("fleet")) {
      budget(at, text);
    } else if (key.startsWith("permit/")) {
      placed(at, FLEET + "/release/" + key, text);
    } else if (key.startsWith("step/")) {
      step(key.substring("step/".length()), text, at);
    }
  }

  private void planned(long at, ZonePlan plan) {
    Map<String, Map<String, Integer>> rows = new TreeMap<>();
    plan.allocations().forEach((place, row) -> rows.put(place, row.weights()));
    account.add(new HistoryEvent.ZonePlanInForce(at, plan.number(), rows));
  }

  private void budget(long at, String text) {
    String kind = scenario.release().caches() ? "cache" : "router";
    Matcher m =
        Pattern.compile(
                "\"kind\":\""
                    + kind
                    + "\",\"most_out\":\"?([0-9]+)\"?,\"most_out_of_site\":\"?([0-9]+)")
            .matcher(text);
    if (m.find()) {
      account.add(
          new HistoryEvent.DisruptionBudgetDefined(
              at, Integer.parseInt(m.group(1)), Integer.parseInt(m.group(2))));
    }
  }

  /** A place that was taken, perhaps by an operator for a cache server. */
  private void placed(long at, String key, String text) {
    Matcher m =
        Pattern.compile("\"kind\":\"(\\w+)\",\"id\":\"([^\"]+)\",\"holder\":\"([^\"]+)\"")
            .matcher(text);
    if (m.find()) {
      boolean operators = m.group(3).equals("rehearsal") && m.group(1).equals("cache");
      if (operators) {
        places.put(key, m.group(2));
      }
      account.add(
          operators
              ? new HistoryEvent.DrainPermitChanged(at, m.group(2), true)
              : new HistoryEvent.PermitTaken(at, m.group(2)));
    }
  }

  private void step(String part, String text, long at) {
    if (text.contains("\"phase\":\"begun\"")) {
      came.putIfAbsent(new Trigger(Trigger.Stage.TAKEN_OUT, 0, part), at);
    } else if (text.contains("\"phase\":\"up\"")) {
      came.putIfAbsent(new Trigger(Trigger.Stage.READY, 0, part), at);
    }
  }

  private void saw(long at, Trigger.Stage what, ConfigVersion version) {
    came.putIfAbsent(new Trigger(what, version.number(), ""), at);
    account.add(
        new HistoryEvent.VersionStageReached(
            at,
            version.number(),
            what == Trigger.Stage.PROPOSED
                ? HistoryEvent.VersionStage.PROPOSED
                : HistoryEvent.VersionStage.IN_FORCE,
            version.content().excludedServers(),
            version.content().maxAttempts() == null ? 0 : version.content().maxAttempts(),
            version.content().classes().entrySet().stream()
                .filter(c -> c.getValue().idempotency() == ClassIdempotency.NON_IDEMPOTENT)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet()),
            version.content().minListVersion() > 0));
  }

  /** What became of each version, once all commands have ended. */
  List<VersionTimeline> passages() throws IOException, InterruptedException {
    for (Thread thread : commands) {
      thread.join();
    }
    look();
    List<VersionTimeline> all = new ArrayList<>();
    for (long n = 1; came.containsKey(new Trigger(Trigger.Stage.PROPOSED, n, "")); n++) {
      all.add(
          new VersionTimeline(
              n,
              came.get(new Trigger(Trigger.Stage.PROPOSED, n, "")),
              came.getOrDefault(new Trigger(Trigger.Stage.IN_FORCE, n, ""), -1L),
              came.getOrDefault(new Trigger(Trigger.Stage.SETTLED, n, ""), -1L)));
    }
    return List.copyOf(all);
  }

  /** Calls that the store has answered so far. */
  long calls() throws IOException {
    String status = store.execute("status");
    return Long.parseLong(status.replaceAll(".*, ([0-9]+) calls.*", "$1"));
  }

  @Override
  public void close() {
    agents.forEach(AgentProcess::close);
    toStore.forEach(FaultProxy::close);
    toDiscovery.forEach(FaultProxy::close);
    toCaches.forEach(links -> links.forEach(FaultProxy::close));
    store.close();
  }
}
