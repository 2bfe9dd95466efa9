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
 * Runs what a fleet with a coordination store needs beside routers and cache servers: the store's
 * stand-in, a fault-injecting link from each router to the store and to discovery, the features
 * file of each router, its rollout agents, and the operators' commands as processes. Also follows
 * the store's changes, records them in the history and fires triggers.
 */
final class FleetEnvironment implements Closeable {
  private static final String STORE_PREFIX = "/rehearsal";
  private static final int COMMAND_TIMEOUT_SECONDS = 30;
  private static final int MAX_PROPOSAL_ATTEMPTS = 8;
  private static final long AGENTS_START_TIMEOUT_NANOS = 30_000_000_000L;
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private final Scenario scenario;
  private final RouterLauncher launcher;
  private final Path folder;
  private final Clock clock;
  private final History history;
  private final StoreProcess store;

  /** Supplies the version of discovery's current endpoint list. */
  private final LongSupplier currentListVersion;

  private final List<FaultProxy> storeLinks = new ArrayList<>();
  private final List<FaultProxy> discoveryLinks = new ArrayList<>();

  /** One link per router and cache server; empty if no fault needs them. */
  private final List<List<FaultProxy>> cacheLinksByRouter = new ArrayList<>();

  private final List<Thread> commandThreads = new ArrayList<>();

  /** Null if the scenario has no release. */
  private final AgentHook agentHook;

  private final List<AgentProcess> agents = new ArrayList<>();
  private final Map<Scenario.FaultSpec, List<AgentProcess>> agentsByFault = new HashMap<>();
  private String driverId = "";

  /** Store keys of the agents that have started to act. */
  private final Set<String> readyAgentKeys = new HashSet<>();

  /** Cache servers for which operators hold a disruption permit, by the permit's key. */
  private final Map<String, String> operatorPermits = new HashMap<>();

  /** When each trigger was first met in the store. */
  private final Map<Trigger, Long> triggerTimesNanos = new HashMap<>();

  FleetEnvironment(
      Scenario scenario,
      RouterLauncher launcher,
      Path folder,
      EmulatedFleetServer fleetServer,
      Clock clock,
      History history)
      throws IOException, InterruptedException {
    this.scenario = scenario;
    this.launcher = launcher;
    this.folder = folder;
    this.clock = clock;
    this.history = history;
    this.currentListVersion =
        () -> fleetServer.call(() -> fleetServer.fleet().discovery().version());
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
      storeLinks.add(new FaultProxy(store.address()));
      discoveryLinks.add(new FaultProxy(fleetServer.discoveryAddress(i)));
      Path stateFolder = folder.resolve("kept-" + i);
      Files.createDirectories(stateFolder);
      writeFeaturesFile(scenario.routers().get(i).name(), storeLinks.get(i).address(), stateFolder);
    }
    if (scenario.needsCacheLinks()) {
      createCacheLinks(fleetServer);
    }
    writeFeaturesFile("operator", store.address(), null);
    String output =
        runCommand(List.of("agreement", "init", "--features", featuresFile("operator").toString()));
    if (!output.contains("is begun")) {
      throw new IOException("\"agreement init\" failed with output: " + output);
    }
    agentHook = scenario.release() == null ? null : new AgentHook(folder);
    if (scenario.release() != null) {
      applyFleetFile(
          scenario.release().maxUnavailable(), scenario.release().maxUnavailablePerSite());
    }
  }

  private String fleetFileText(int maxUnavailable, int maxUnavailablePerSite) {
    StringBuilder out = new StringBuilder();
    appendGroup(
        out,
        "routers",
        maxUnavailable,
        maxUnavailablePerSite,
        scenario.routers().stream().map(Scenario.RouterSpec::name).toList());
    appendGroup(
        out, "caches", maxUnavailable, maxUnavailablePerSite, scenario.fleet().cacheServerNames());
    return out.toString();
  }

  private void appendGroup(
      StringBuilder out,
      String kind,
      int maxUnavailable,
      int maxUnavailablePerSite,
      List<String> instances) {
    out.append(
        "["
            + kind
            + "]\nmost_out = "
            + maxUnavailable
            + "\nmost_out_of_site = "
            + maxUnavailablePerSite
            + "\nspare = "
            + scenario.release().toleratedFailures()
            + "\ncores = "
            + scenario.release().coresPerInstance()
            + "\n");
    for (String site : scenario.fleet().distinctSites()) {
      List<String> siteInstances =
          instances.stream().filter(instance -> scenario.siteOf(instance).equals(site)).toList();
      if (!siteInstances.isEmpty()) {
        out.append(
            "[["
                + kind
                + ".site]]\nname = \""
                + site
                + "\"\nparts = "
                + ScenarioPrinter.quotedList(siteInstances)
                + "\n");
      }
    }
  }

  private void applyFleetFile(int maxUnavailable, int maxUnavailablePerSite) {
    try {
      Files.writeString(
          folder.resolve("fleet.toml"), fleetFileText(maxUnavailable, maxUnavailablePerSite));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    runOperatorCommand("release", "fleet", folder.resolve("fleet.toml").toString());
  }

  /**
   * Starts the agents of all instances that may be released and waits until they act.
   *
   * @param adminAddresses the routers' admin addresses, in the scenario's order
   */
  void startAgents(List<InetSocketAddress> adminAddresses)
      throws IOException, InterruptedException {
    if (agentHook == null) {
      return;
    }
    List<String> instances = scenario.releasableInstances();
    for (int i = 0; i < instances.size(); i++) {
      String name = instances.get(i);
      boolean cache = scenario.release().ofCacheServers();
      List<String> arguments =
          new ArrayList<>(
              List.of(
                  "release",
                  "agent",
                  name,
                  "--features",
                  featuresFile(cache ? "operator" : name).toString(),
                  "--apply",
                  agentHook.command()));
      // A router reports its own metrics; those of a cache server come from all routers.
      List<InetSocketAddress> metricsSources =
          cache ? adminAddresses : adminAddresses.subList(i, i + 1);
      arguments.addAll(
          List.of(
              "--figures",
              metricsSources.stream()
                  .map(address -> "127.0.0.1:" + address.getPort())
                  .collect(Collectors.joining(",")),
              "--kind",
              cache ? "cache" : "router"));
      agents.add(
          new AgentProcess(launcher.command(arguments), folder.resolve(name + ".agent.log")));
      agents.get(i).start();
    }
    // Starting JVMs compete with the rehearsal for processors, so the rehearsal waits for them.
    long deadlineNanos = clock.now() + AGENTS_START_TIMEOUT_NANOS;
    while (readyAgentKeys.size() < agents.size()) {
      if (clock.now() > deadlineNanos) {
        throw new IOException(
            "not all agents started to act in time; agents that did: " + readyAgentKeys);
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
      readStoreChanges();
    }
  }

  /** Returns the restarts that agents have requested since the last call. */
  List<AgentHook.RestartRequest> takeRestartRequests() throws IOException {
    if (agentHook == null) {
      return List.of();
    }
    readStoreChanges();
    return agentHook.takeRequests();
  }

  void stopAgents() {
    agents.forEach(AgentProcess::close);
  }

  /** Reports the result of a restart to the agent that requested it. */
  void completeRestart(AgentHook.RestartRequest request, boolean ready) {
    try {
      agentHook.complete(request, ready);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts the release by an operator's command, without waiting for it. */
  void startRelease() {
    Scenario.ReleaseSpec release = scenario.release();
    try {
      StringBuilder plan =
          new StringBuilder(
              "kind = \""
                  + (release.ofCacheServers() ? "cache" : "router")
                  + "\"\nsoak = \""
                  + release.soakNanos() / NANOS_PER_MILLI
                  + "ms\"\nsamples = "
                  + release.minResponses()
                  + "\nworse = "
                  + release.failedRegressionBound()
                  + "\nworse_missed = "
                  + release.missedRegressionBound()
                  + "\nlimit = \""
                  + release.readyTimeoutNanos() / NANOS_PER_MILLI
                  + "ms\"\nalone = \""
                  + release.selfRollbackNanos() / NANOS_PER_MILLI
                  + "ms\"\n");
      if (release.maxAttempts() > 0) {
        Path settings = folder.resolve("settings.toml");
        Files.writeString(settings, "[settings]\nmost_tries = " + release.maxAttempts() + "\n");
        plan.append("settings = \"" + settings + "\"\n");
      }
      release
          .waves()
          .forEach(
              wave -> plan.append("[[wave]]\nparts = " + ScenarioPrinter.quotedList(wave) + "\n"));
      Files.writeString(folder.resolve("plan.toml"), plan);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    runInBackground(
        () -> runOperatorCommand("release", "start", folder.resolve("plan.toml").toString()));
  }

  /** Runs an operator command of the scenario, without waiting for it. */
  void executeOperatorCommand(Scenario.OperatorCommandSpec spec) {
    runInBackground(
        () -> {
          if (spec.command().equals("budget")) {
            applyFleetFile(spec.maxUnavailable(), spec.maxUnavailable());
          } else if (spec.command().startsWith("zone-")) {
            runOperatorCommand("zones", spec.command().substring("zone-".length()), spec.target());
          } else if (spec.target().isEmpty()) {
            runOperatorCommand("release", spec.command());
          } else {
            runOperatorCommand(
                "release",
                spec.command(),
                spec.target(),
                "--kind",
                scenario.routerIndex(spec.target()) < 0 ? "cache" : "router");
          }
        });
  }

  private void runInBackground(Runnable body) {
    Thread thread = new Thread(body, "operator");
    thread.setDaemon(true);
    thread.start();
    commandThreads.add(thread);
  }

  private void runOperatorCommand(String... arguments) {
    runOperatorCommandWithReason("as the scenario has it", arguments);
  }

  /** Runs an operator's command as a separate process; returns its output, which is also logged. */
  private String runOperatorCommandWithReason(String reason, String... arguments) {
    try {
      List<String> commandLine = new ArrayList<>(List.of(arguments));
      commandLine.addAll(operatorOptions(reason));
      String output = runCommand(commandLine);
      synchronized (this) {
        Files.writeString(
            folder.resolve("operator.log"),
            output,
            StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
      }
      return output;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "";
    }
  }

  private List<AgentProcess> affectedAgents(Scenario.FaultSpec fault) {
    List<AgentProcess> affected = new ArrayList<>();
    for (int i = 0; i < agents.size(); i++) {
      if (fault.targets().contains(scenario.releasableInstances().get(i))
          || (fault.targets().contains(ScenarioReader.DRIVER)
              && driverId.endsWith("-" + agents.get(i).pid()))) {
        affected.add(agents.get(i));
      }
    }
    return affected;
  }

  private void startAgentFault(Scenario.FaultSpec fault) {
    // The target is stored, as another agent may drive the release when the fault ends.
    List<AgentProcess> affected = affectedAgents(fault);
    agentsByFault.put(fault, affected);
    affected.forEach(
        agent -> {
          if (fault.kind() == Fault.Kind.AGENT_KILL) {
            agent.kill();
          } else {
            agent.setPaused(true);
          }
        });
  }

  private void endAgentFault(Scenario.FaultSpec fault) {
    List<AgentProcess> affected = agentsByFault.remove(fault);
    for (AgentProcess agent : affected == null ? List.<AgentProcess>of() : affected) {
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

  private void createCacheLinks(EmulatedFleetServer fleetServer) throws IOException {
    for (int router = 0; router < scenario.routers().size(); router++) {
      List<FaultProxy> links = new ArrayList<>();
      for (int server = 0; server < scenario.fleet().cacheServerCount(); server++) {
        links.add(new FaultProxy(fleetServer.serverAddress(router, server)));
        fleetServer.overrideServerAddress(router, server, links.get(server).address());
      }
      cacheLinksByRouter.add(links);
    }
  }

  private void writeFeaturesFile(String name, InetSocketAddress storeAddress, Path stateFolder)
      throws IOException {
    Scenario.Agreement agreement = scenario.agreement();
    Files.writeString(
        featuresFile(name),
        "[agreement]\nendpoints = [\"127.0.0.1:"
            + storeAddress.getPort()
            + "\"]\nfleet = \""
            + STORE_PREFIX
            + "\"\nlease = \""
            + agreement.leaseNanos() / NANOS_PER_MILLI
            + "ms\"\ndrift = "
            + agreement.clockDrift()
            + "\n"
            + (stateFolder == null ? "" : "folder = \"" + stateFolder + "\"\n")
            + zonesSection());
  }

  private String zonesSection() {
    Scenario.ZonesSpec zonesSpec = scenario.zones();
    if (zonesSpec == null || !zonesSpec.planned()) {
      return "";
    }
    StringBuilder text =
        new StringBuilder(
            "[zones]\neach_per_s = "
                + zonesSpec.serverRequestsPerSecond()
                + "\nfetches_per_s = "
                + zonesSpec.fetchesPerSecond()
                + "\nreserve = "
                + zonesSpec.reservePermille()
                + "\n");
    List<String> zones = scenario.fleet().distinctSites();
    for (int i = 0; i < zones.size(); i++) {
      text.append(
          "[[zones.place]]\nname = \""
              + zones.get(i)
              + "\"\n"
              + (zonesSpec.regions().isEmpty()
                  ? ""
                  : "region = \"" + zonesSpec.regions().get(i) + "\"\n"));
    }
    return text.toString();
  }

  /** Returns the features file of a router, or of operators' commands. */
  Path featuresFile(String name) {
    return folder.resolve(name + ".toml");
  }

  /** Returns the address at which the router reaches discovery. */
  InetSocketAddress discoveryAddress(int router) {
    return discoveryLinks.get(router).address();
  }

  /**
   * Proposes a version by an operator's command, without waiting for it. The command is repeated
   * while the previous version is not settled, as an operator would do.
   */
  void propose(int number, Scenario.VersionSpec version) {
    try {
      Path file = folder.resolve("version-" + number + ".toml");
      StringBuilder content = new StringBuilder();
      version
          .unsafeClasses()
          .forEach(
              name -> content.append("[[class]]\nname = \"" + name + "\"\neffect = \"unsafe\"\n"));
      Files.writeString(
          file,
          content
              + (version.maxAttempts() > 0
                  ? "[settings]\nmost_tries = " + version.maxAttempts() + "\n"
                  : "")
              + "[list]\nout = "
              + ScenarioPrinter.quotedList(version.excludedServers())
              + (version.requiresCurrentList()
                  ? "\noldest = " + currentListVersion.getAsLong()
                  : "")
              + "\n");
      runInBackground(() -> runProposal(number, file, version));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void runProposal(int number, Path file, Scenario.VersionSpec version) {
    if (version.killsProposer()) {
      proposeAndKill(number, file, version.reason());
      return;
    }
    String output = "";
    for (int attempt = 0;
        attempt < MAX_PROPOSAL_ATTEMPTS && !output.contains("is proposed\n");
        attempt++) {
      output =
          runOperatorCommandWithReason(version.reason(), "agreement", "propose", file.toString());
    }
  }

  /** Proposes a version and kills the command as soon as the store has the proposal. */
  private void proposeAndKill(int number, Path file, String reason) {
    try {
      List<String> arguments =
          new ArrayList<>(
              List.of(
                  "agreement",
                  "propose",
                  file.toString(),
                  "--wait",
                  Integer.toString(COMMAND_TIMEOUT_SECONDS)));
      arguments.addAll(operatorOptions(reason));
      Process process =
          ChildProcesses.start(
              new ProcessBuilder(launcher.command(arguments))
                  .redirectErrorStream(true)
                  .redirectOutput(folder.resolve("proposal-" + number + ".log").toFile()));
      long deadlineNanos = clock.now() + COMMAND_TIMEOUT_SECONDS * NANOS_PER_SECOND;
      String proposalKey = STORE_PREFIX + "/history/" + String.format("%09d", number) + " ";
      while (process.isAlive()
          && clock.now() < deadlineNanos
          && !Files.readString(folder.resolve("store.log")).contains(proposalKey)) {
        Thread.sleep(1);
      }
      process.destroyForcibly().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<String> operatorOptions(String reason) {
    return List.of(
        "--reason",
        reason,
        "--author",
        "rehearsal",
        "--features",
        featuresFile("operator").toString());
  }

  private String runCommand(List<String> arguments) throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(launcher.command(arguments)).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (!process.waitFor(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
    return output;
  }

  /** Starts a fault of links, of agents, or of the store. */
  void startFault(Scenario.FaultSpec fault) {
    if (fault.kind().target() == Fault.Target.AGENT) {
      startAgentFault(fault);
      return;
    }
    if (fault.kind().target() == Fault.Target.STORE) {
      executeStoreCommand(
          switch (fault.kind()) {
            case STORE_DOWN -> "down";
            case STORE_SLOW -> "slow " + (long) fault.amount() / NANOS_PER_MILLI;
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
    affectedLinks(fault).forEach(link -> setLinkState(link, state, (long) fault.amount()));
  }

  private void setLinkState(FaultProxy link, FaultProxy.State state, long amount) {
    int router = discoveryLinks.indexOf(link);
    if (router >= 0) {
      history.add(
          new HistoryEvent.DiscoveryLinkChanged(
              clock.now(), router, state == FaultProxy.State.OPEN));
    }
    link.setState(state, amount);
  }

  /** Ends a fault; harmless if the fault has not started or has already ended. */
  void endFault(Scenario.FaultSpec fault) {
    switch (fault.kind()) {
      case STORE_DOWN -> executeStoreCommand("up");
      case STORE_SLOW -> executeStoreCommand("slow 0");
      case STORE_STALE -> executeStoreCommand("thaw");
      case STORE_EMPTY, STORE_BACK -> {}
      case AGENT_KILL, AGENT_PAUSE -> endAgentFault(fault);
      default -> affectedLinks(fault).forEach(link -> setLinkState(link, FaultProxy.State.OPEN, 0));
    }
  }

  /** Sets the state of a router's links to all cache servers, if it has such links. */
  void setCacheLinkState(int router, FaultProxy.State state, long amount) {
    if (!cacheLinksByRouter.isEmpty()) {
      cacheLinksByRouter.get(router).forEach(link -> link.setState(state, amount));
    }
  }

  private List<FaultProxy> affectedLinks(Scenario.FaultSpec fault) {
    List<FaultProxy> affected = new ArrayList<>();
    for (int router = 0; router < scenario.routers().size(); router++) {
      Scenario.RouterSpec routerSpec = scenario.routers().get(router);
      if (fault.kind() == Fault.Kind.SITE_CUT) {
        boolean inside = fault.targets().contains(routerSpec.site());
        if (inside) {
          affected.add(storeLinks.get(router));
          affected.add(discoveryLinks.get(router));
        }
        affected.addAll(
            cacheLinks(
                router,
                site ->
                    fault.targets().contains(site) != inside
                        || (inside && !site.equals(routerSpec.site()))));
      } else if (fault.targets().contains(routerSpec.name())) {
        switch (fault.linkDestination()) {
          case "store" -> affected.add(storeLinks.get(router));
          case "discovery" -> affected.add(discoveryLinks.get(router));
          default ->
              affected.addAll(
                  cacheLinks(
                      router,
                      site ->
                          fault.linkDestination().equals("caches")
                              || fault.linkDestination().equals(site)));
        }
      }
    }
    return affected;
  }

  private List<FaultProxy> cacheLinks(int router, Predicate<String> sites) {
    List<FaultProxy> links = new ArrayList<>();
    for (int server = 0; server < scenario.fleet().cacheServerCount(); server++) {
      if (sites.test(scenario.siteOfCacheServer(server))) {
        links.add(cacheLinksByRouter.get(router).get(server));
      }
    }
    return links;
  }

  private void executeStoreCommand(String command) {
    try {
      store.execute(command);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns when the trigger was first met in the store, or -1 if it was not yet. */
  long triggerTimeNanos(Trigger trigger) throws IOException {
    readStoreChanges();
    return triggerTimesNanos.getOrDefault(trigger, -1L);
  }

  /** Reads the store's changes since the last call into the history and the triggers. */
  private void readStoreChanges() throws IOException {
    long clockOffsetNanos = clock.now() - System.nanoTime();
    AgreementKeys keys = new AgreementKeys(STORE_PREFIX);
    String releasePrefix = STORE_PREFIX + "/release/";
    for (StoreProcess.StoreChange change : store.readChanges()) {
      long atNanos = change.nanoTime() + clockOffsetNanos;
      if (change.key().equals(releasePrefix + "driver")) {
        driverId = change.value() == null ? "" : change.value();
      }
      if (change.key().startsWith(keys.membersPrefix())) {
        int router =
            scenario.routerIndex(
                change.key().substring(keys.membersPrefix().length()).split("/")[0]);
        history.add(new HistoryEvent.MembershipChanged(atNanos, router, change.value() != null));
      }
      String server = operatorPermits.remove(change.value() == null ? change.key() : "");
      if (server != null) {
        history.add(new HistoryEvent.DrainPermitChanged(atNanos, server, false));
      }
      if (change.value() == null) {
        continue;
      }
      try {
        if (change.key().equals(keys.commonPrefix() + "next")) {
          recordVersionStage(
              atNanos, Trigger.Stage.PROPOSED, ConfigCodec.decodeVersion(change.value()));
        } else if (change.key().equals(keys.commonPrefix() + "current")) {
          recordVersionStage(
              atNanos, Trigger.Stage.IN_FORCE, ConfigCodec.decodeVersion(change.value()));
        } else if (change.key().equals(keys.commonPrefix() + "settled")) {
          triggerTimesNanos.putIfAbsent(
              new Trigger(Trigger.Stage.SETTLED, Long.parseLong(change.value()), ""), atNanos);
        } else if (change.key().equals(STORE_PREFIX + "/zones/plan")) {
          recordZonePlan(atNanos, ZonesCodec.decodePlan(change.value()));
        } else if (change.key().startsWith(releasePrefix)) {
          recordReleaseChange(
              atNanos, change.key().substring(releasePrefix.length()), change.value());
        } else if (change.key().startsWith(keys.membersPrefix())) {
          MemberRecord member = MemberRecord.decode(change.value());
          triggerTimesNanos.putIfAbsent(
              new Trigger(Trigger.Stage.ACKNOWLEDGED, member.ackedNumber(), member.name()),
              atNanos);
        }
      } catch (AgreementException e) {
        throw new IOException(
            "the store holds a value that cannot be decoded: " + e.getMessage(), e);
      }
    }
  }

  /** Records a change of a key below the release's prefix. */
  private void recordReleaseChange(long atNanos, String key, String value) {
    if (key.startsWith("agent/")) {
      readyAgentKeys.add(key);
    } else if (key.equals("course")) {
      String mode = value.replaceAll(".*\"mode\":\"([a-z]+)\".*", "$1");
      history.add(
          new HistoryEvent.ReleaseCommanded(atNanos, mode.equals("halted") ? "halt" : mode));
    } else if (key.equals("fleet")) {
      recordBudget(atNanos, value);
    } else if (key.startsWith("permit/")) {
      recordPermit(atNanos, STORE_PREFIX + "/release/" + key, value);
    } else if (key.startsWith("step/")) {
      recordStep(key.substring("step/".length()), value, atNanos);
    }
  }

  private void recordZonePlan(long atNanos, ZonePlan plan) {
    Map<String, Map<String, Integer>> rows = new TreeMap<>();
    plan.allocations().forEach((zone, row) -> rows.put(zone, row.weights()));
    history.add(new HistoryEvent.ZonePlanInForce(atNanos, plan.number(), rows));
  }

  private void recordBudget(long atNanos, String value) {
    String kind = scenario.release().ofCacheServers() ? "cache" : "router";
    Matcher matcher =
        Pattern.compile(
                "\"kind\":\""
                    + kind
                    + "\",\"most_out\":\"?([0-9]+)\"?,\"most_out_of_site\":\"?([0-9]+)")
            .matcher(value);
    if (matcher.find()) {
      history.add(
          new HistoryEvent.DisruptionBudgetDefined(
              atNanos, Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2))));
    }
  }

  /** Records a disruption permit that an agent took, or an operator for a cache server. */
  private void recordPermit(long atNanos, String key, String value) {
    Matcher matcher =
        Pattern.compile("\"kind\":\"(\\w+)\",\"id\":\"([^\"]+)\",\"holder\":\"([^\"]+)\"")
            .matcher(value);
    if (matcher.find()) {
      boolean byOperator = matcher.group(3).equals("rehearsal") && matcher.group(1).equals("cache");
      if (byOperator) {
        operatorPermits.put(key, matcher.group(2));
      }
      history.add(
          byOperator
              ? new HistoryEvent.DrainPermitChanged(atNanos, matcher.group(2), true)
              : new HistoryEvent.PermitTaken(atNanos, matcher.group(2)));
    }
  }

  private void recordStep(String instance, String value, long atNanos) {
    if (value.contains("\"phase\":\"begun\"")) {
      triggerTimesNanos.putIfAbsent(new Trigger(Trigger.Stage.TAKEN_OUT, 0, instance), atNanos);
    } else if (value.contains("\"phase\":\"up\"")) {
      triggerTimesNanos.putIfAbsent(new Trigger(Trigger.Stage.READY, 0, instance), atNanos);
    }
  }

  private void recordVersionStage(long atNanos, Trigger.Stage stage, ConfigVersion version) {
    triggerTimesNanos.putIfAbsent(new Trigger(stage, version.number(), ""), atNanos);
    history.add(
        new HistoryEvent.VersionStageReached(
            atNanos,
            version.number(),
            stage == Trigger.Stage.PROPOSED
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

  /** Waits for all commands to end and returns the timeline of each version. */
  List<VersionTimeline> versionTimelines() throws IOException, InterruptedException {
    for (Thread thread : commandThreads) {
      thread.join();
    }
    readStoreChanges();
    List<VersionTimeline> timelines = new ArrayList<>();
    for (long number = 1;
        triggerTimesNanos.containsKey(new Trigger(Trigger.Stage.PROPOSED, number, ""));
        number++) {
      timelines.add(
          new VersionTimeline(
              number,
              triggerTimesNanos.get(new Trigger(Trigger.Stage.PROPOSED, number, "")),
              triggerTimesNanos.getOrDefault(new Trigger(Trigger.Stage.IN_FORCE, number, ""), -1L),
              triggerTimesNanos.getOrDefault(new Trigger(Trigger.Stage.SETTLED, number, ""), -1L)));
    }
    return List.copyOf(timelines);
  }

  /** Returns the number of calls to which the store has replied so far. */
  long storeCalls() throws IOException {
    String status = store.execute("status");
    return Long.parseLong(status.replaceAll(".*, ([0-9]+) calls.*", "$1"));
  }

  @Override
  public void close() {
    agents.forEach(AgentProcess::close);
    storeLinks.forEach(FaultProxy::close);
    discoveryLinks.forEach(FaultProxy::close);
    cacheLinksByRouter.forEach(links -> links.forEach(FaultProxy::close));
    store.close();
  }
}
