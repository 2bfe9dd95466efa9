package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryChecker;
import beaconturn.history.HistoryEvent;
import beaconturn.rehearsal.fleet.AgentHook;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.EventScheduler;
import beaconturn.standin.Fault;
import beaconturn.standin.RandomSources;
import beaconturn.standin.net.EmulatedFleetServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

/**
 * Runs one scenario: starts the stand-ins, routers and clients, injects the faults at their times,
 * and checks the recorded history against the invariants.
 */
public final class Rehearsal {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

  /** Delay that sockets and threads may add to any limit of the invariants. */
  private static final long SOCKET_SLACK_NANOS = 50 * NANOS_PER_MILLI;

  /** Time between the set-up and the first request. */
  private static final long START_DELAY_NANOS = 200 * NANOS_PER_MILLI;

  /** How long the front keeps sending to a router after its planned stop was announced. */
  static final long FRONT_REACTION_NANOS = 300 * NANOS_PER_MILLI;

  private static final long POLL_INTERVAL_MILLIS = 20;

  /**
   * A router whose planned stop has not finished is killed after the longest request deadline, up
   * to this limit, and {@link #KILL_GRACE_NANOS}.
   */
  private static final long MAX_KILL_DELAY_NANOS = 3 * NANOS_PER_SECOND;

  private static final long KILL_GRACE_NANOS = 700 * NANOS_PER_MILLI;

  /** Time limit of a planned stop. */
  static final long STOP_TIMEOUT_MILLIS = 8000;

  private final Scenario scenario;
  private final RouterLauncher launcher;
  private final Path folder;
  private final Consumer<String> progress;
  private final Clock clock = Clock.system();
  private final History history = new History();
  private final List<RouterProcess> routers = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final List<PendingTrigger> pendingTriggers = new ArrayList<>();
  private EmulatedFleetServer fleetServer;

  /** Null if routers share no coordination store. */
  private FleetEnvironment environment;

  private OpenLoopClients clients;
  private final List<Thread> restartThreads = new ArrayList<>();

  /** Cache servers by name; empty if the scenario releases none. */
  private final Map<String, RestartableCacheServer> cacheServers = new HashMap<>();

  private long startNanos;
  private int stepCount;

  /** An action at a time; actions of the same time run in the order of their numbers. */
  private record Step(long atNanos, int number, Runnable action) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Integer.compare(number, other.number);
    }
  }

  /** A trigger that was not met yet, and what to schedule from the time at which it is. */
  private record PendingTrigger(Trigger trigger, LongConsumer action) {}

  /**
   * Creates a rehearsal; nothing is started before {@link #run}.
   *
   * @param folder receives the configurations and logs of the routers
   * @param progress receives a short line about the progress, about once a second
   */
  public Rehearsal(
      Scenario scenario, RouterLauncher launcher, Path folder, Consumer<String> progress) {
    this.scenario = scenario;
    this.launcher = launcher;
    this.folder = folder;
    this.progress = progress;
  }

  /**
   * Runs the scenario and returns its report.
   *
   * @throws IOException if the scenario could not be run as written; a violated invariant is part
   *     of the report
   */
  public RehearsalReport run() throws IOException, InterruptedException {
    checkSupported();
    EventScheduler scheduler = new EventScheduler(clock.now());
    EmulatedFleet emulatedFleet =
        new EmulatedFleet(
            scheduler,
            scenario.emulatedFleetSpec(),
            new RandomSources(scenario.seed()),
            new HistoryEventWriter(history));
    fleetServer = new EmulatedFleetServer(emulatedFleet, clock::now, scenario.routers().size(), 0);
    MachinePauseDetector detector = new MachinePauseDetector(clock, history, fleetServer::execute);
    ClientStatistics statistics = new ClientStatistics(scenario);
    try {
      fleetServer.start();
      if (scenario.agreement() != null) {
        environment = new FleetEnvironment(scenario, launcher, folder, fleetServer, clock, history);
      }
      startRouters();
      startAgents();
      clients =
          new OpenLoopClients(
              scenario,
              routers.stream().map(RouterProcess::address).toList(),
              clock,
              history,
              statistics);
      long cpuNanos = processCpuNanos();
      detector.start();
      scheduleAll();
      clients.start(RequestSchedule.of(scenario), startNanos);
      long storeCalls = environment == null ? 0 : environment.storeCalls();
      executeSteps();
      cpuNanos = processCpuNanos() - cpuNanos;
      storeCalls = environment == null ? 0 : environment.storeCalls() - storeCalls;
      settle();
      detector.stop();
      RehearsalReport.AgreementSummary agreementSummary = agreementSummary(storeCalls);
      checkAllTriggersMet();
      List<HistoryEvent> events = history.events();
      return new RehearsalReport(
          scenario,
          startNanos,
          events,
          HistoryChecker.check(scenario.invariantBounds(SOCKET_SLACK_NANOS), events),
          statistics.summaries(),
          cpuNanos,
          routers.stream().mapToLong(RouterProcess::cpuNanos).sum(),
          statistics.sendDelayP99Millis(),
          HistoryChecker.pausedNanos(events),
          agreementSummary);
    } finally {
      detector.stop();
      stopRouters();
      if (environment != null) {
        environment.close();
      }
      fleetServer.close();
    }
  }

  private RehearsalReport.AgreementSummary agreementSummary(long storeCalls)
      throws IOException, InterruptedException {
    return environment == null
        ? null
        : new RehearsalReport.AgreementSummary(
            environment.versionTimelines(),
            storeCalls * (double) NANOS_PER_SECOND / scenario.lengthNanos(),
            routers.stream()
                .map(RouterProcess::peakUsage)
                .reduce(new ProcessUsage(0, 0), ProcessUsage::max));
  }

  /** Fails before anything is started if the launcher lacks what the scenario needs. */
  private void checkSupported() throws IOException {
    for (Scenario.FaultSpec fault : scenario.faults()) {
      if (fault.kind().target() == Fault.Target.ROUTER && !launcher.supportsRestart()) {
        throw new IOException(
            fault.kind().word() + " needs routers that are processes of their own");
      }
    }
    if (scenario.agreement() != null && launcher.command(List.of()).isEmpty()) {
      throw new IOException("an agreement needs routers that are processes of their own");
    }
  }

  private static long processCpuNanos() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }

  private void startRouters() throws IOException, InterruptedException {
    progress.accept("starting " + scenario.routers().size() + " routers");
    for (int i = 0; i < scenario.routers().size(); i++) {
      routers.add(
          new RouterProcess(
              scenario, i, fleetServer, launcher, clock, history, folder, environment));
      routers.get(i).launch();
    }
    for (RouterProcess routerProcess : routers) {
      routerProcess.awaitReady();
    }
  }

  private void startAgents() throws IOException, InterruptedException {
    if (scenario.release() != null && scenario.release().ofCacheServers()) {
      scenario
          .releasableInstances()
          .forEach(
              id ->
                  cacheServers.put(
                      id, new RestartableCacheServer(scenario, id, fleetServer, clock, history)));
    }
    if (environment != null) {
      environment.startAgents(routers.stream().map(RouterProcess::adminAddress).toList());
    }
  }

  private void scheduleAll() {
    startNanos = clock.now() + START_DELAY_NANOS;
    scheduleFaults();
    scheduleVersions();
    scheduleRelease();
  }

  private void scheduleFaults() {
    for (Scenario.FaultSpec fault : scenario.faults()) {
      whenTriggered(fault.after(), fromNanos -> scheduleFault(fault, fromNanos));
    }
  }

  /** Calls the action with the time of the trigger, or with the start if there is no trigger. */
  private void whenTriggered(Trigger trigger, LongConsumer action) {
    if (trigger == null) {
      action.accept(startNanos);
    } else {
      pendingTriggers.add(new PendingTrigger(trigger, action));
    }
  }

  private void scheduleFault(Scenario.FaultSpec fault, long baseNanos) {
    long fromNanos = baseNanos + fault.fromNanos();
    Fault.Target target = fault.kind().target();
    if (scenario.zones() != null) {
      schedule(fromNanos, () -> history.add(new HistoryEvent.FaultChanged(clock.now(), true)));
    }
    if (target == Fault.Target.ROUTER) {
      fault
          .targets()
          .forEach(name -> scheduleRouterFault(fault, scenario.routerIndex(name), fromNanos));
    } else if (fault.kind().needsAgreement()) {
      schedule(fromNanos, () -> environment.startFault(fault));
    } else {
      fleetServer.apply(() -> scheduleStandInFault(fault, fromNanos, true));
    }
    if (fault.until() == null) {
      scheduleFaultEnd(fault, baseNanos + fault.toNanos());
    } else {
      pendingTriggers.add(
          new PendingTrigger(
              fault.until(),
              triggerNanos -> scheduleFaultEnd(fault, triggerNanos + fault.toNanos())));
    }
  }

  private void scheduleFaultEnd(Scenario.FaultSpec fault, long toNanos) {
    if (scenario.zones() != null) {
      schedule(toNanos, () -> history.add(new HistoryEvent.FaultChanged(clock.now(), false)));
    }
    Fault.Target target = fault.kind().target();
    if (target == Fault.Target.ROUTER) {
      fault
          .targets()
          .forEach(name -> scheduleRouterFaultEnd(fault, scenario.routerIndex(name), toNanos));
    } else if (fault.kind().needsAgreement()) {
      schedule(toNanos, () -> environment.endFault(fault));
    } else if (toNanos < startNanos + scenario.lengthNanos()) {
      // A fault that lasts to the end of the run is not ended: nothing would observe it.
      fleetServer.apply(() -> scheduleStandInFault(fault, toNanos, false));
    }
  }

  private void scheduleVersions() {
    for (int i = 0; i < scenario.versions().size(); i++) {
      int number = i + 1;
      Scenario.VersionSpec version = scenario.versions().get(i);
      whenTriggered(
          version.after(),
          fromNanos ->
              schedule(fromNanos + version.atNanos(), () -> environment.propose(number, version)));
    }
  }

  private void scheduleRelease() {
    Scenario.ReleaseSpec release = scenario.release();
    if (release != null && release.startsAutomatically()) {
      whenTriggered(
          release.after(),
          fromNanos -> schedule(fromNanos + release.atNanos(), environment::startRelease));
    }
    for (Scenario.OperatorCommandSpec spec : scenario.operatorCommands()) {
      whenTriggered(
          spec.after(),
          fromNanos ->
              schedule(
                  fromNanos + spec.atNanos(),
                  () -> {
                    if (spec.command().startsWith("zone-")) {
                      history.add(
                          new HistoryEvent.FaultChanged(
                              clock.now(), spec.command().equals("zone-drain")));
                    }
                    environment.executeOperatorCommand(spec);
                  }));
    }
  }

  /** Executes the agents' restart requests on separate threads, as each restart takes seconds. */
  private void handleRestartRequests() throws IOException {
    for (AgentHook.RestartRequest request : environment.takeRestartRequests()) {
      int router = scenario.routerIndex(request.instance());
      Thread thread =
          new Thread(
              () -> {
                try {
                  environment.completeRestart(
                      request,
                      router < 0
                          ? cacheServers.get(request.instance()).changeVariant(request.released())
                          : routers
                              .get(router)
                              .changeVariant(
                                  request.released(),
                                  avoided -> clients.setAvoided(router, avoided)));
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              },
              "restart-request");
      thread.setDaemon(true);
      thread.start();
      restartThreads.add(thread);
    }
  }

  /** Schedules the start or end of a stand-in fault; runs on the stand-ins' thread. */
  private void scheduleStandInFault(Scenario.FaultSpec fault, long atNanos, boolean starts) {
    EmulatedFleet fleet = fleetServer.fleet();
    if (fault.targets().isEmpty()) {
      fleet
          .scheduler()
          .at(
              atNanos,
              () -> {
                if (starts) {
                  fleet.startFault(fault.kind(), fault.amount());
                } else {
                  fleet.endFault(fault.kind());
                }
              });
      return;
    }
    for (String name : fault.targets()) {
      int server = fleet.indexOf(name);
      fleet
          .scheduler()
          .at(
              atNanos,
              () -> {
                if (starts) {
                  fleet.startFault(fault.kind(), server, fault.amount());
                } else {
                  fleet.endFault(fault.kind(), server);
                }
              });
    }
  }

  private void scheduleRouterFault(Scenario.FaultSpec fault, int router, long fromNanos) {
    RouterProcess routerProcess = routers.get(router);
    if (fault.kind() == Fault.Kind.ROUTER_PAUSE) {
      schedule(fromNanos, () -> routerProcess.setPaused(true));
      return;
    }
    if (fault.kind() == Fault.Kind.ROUTER_RELOAD) {
      schedule(fromNanos, () -> reload(routerProcess));
      return;
    }
    boolean planned = fault.kind() == Fault.Kind.ROUTER_TERM;
    schedule(
        fromNanos,
        planned ? () -> terminate(routerProcess, killDelayNanos()) : routerProcess::kill);
    schedule(
        fromNanos
            + (planned
                ? FRONT_REACTION_NANOS
                : scenario.clientStreams().get(0).failureDetectionNanos()),
        () -> clients.setAvoided(router, true));
  }

  /** The time from SIGTERM to the earliest SIGKILL. */
  private long killDelayNanos() {
    long maxDeadlineNanos =
        scenario.requestClasses().stream()
            .mapToLong(Scenario.RequestClass::deadlineNanos)
            .max()
            .orElse(0);
    return Math.min(maxDeadlineNanos, MAX_KILL_DELAY_NANOS) + KILL_GRACE_NANOS;
  }

  /** Starts a planned stop; the kill counts from now, even if this step is late. */
  private void terminate(RouterProcess routerProcess, long killDelayNanos) {
    routerProcess.terminate();
    schedule(clock.now() + killDelayNanos, routerProcess::killIfStillStopping);
  }

  private void scheduleRouterFaultEnd(Scenario.FaultSpec fault, int router, long toNanos) {
    if (fault.kind() == Fault.Kind.ROUTER_PAUSE) {
      schedule(toNanos, () -> routers.get(router).setPaused(false));
      return;
    }
    if (fault.kind() == Fault.Kind.ROUTER_RELOAD) {
      schedule(toNanos, () -> reload(routers.get(router)));
      return;
    }
    schedule(
        toNanos,
        () -> {
          Thread thread =
              new Thread(() -> restart(router, fault.kind() == Fault.Kind.ROUTER_TERM), "restart");
          thread.setDaemon(true);
          thread.start();
          restartThreads.add(thread);
        });
  }

  private void reload(RouterProcess routerProcess) {
    try {
      routerProcess.reload();
    } catch (IOException e) {
      throw new UncheckedIOException(
          "the configuration of " + routerProcess.name() + " cannot be written", e);
    }
  }

  private void schedule(long atNanos, Runnable action) {
    steps.add(new Step(atNanos, ++stepCount, action));
  }

  private void restart(int router, boolean planned) {
    RouterProcess routerProcess = routers.get(router);
    try {
      routerProcess.restart(planned);
      clients.setAvoided(router, false);
    } catch (IOException e) {
      history.add(new HistoryEvent.RouterCrashed(clock.now(), router, e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void executeSteps() throws IOException, InterruptedException {
    long endNanos = startNanos + scenario.lengthNanos();
    long reportedSecond = 0;
    while (clock.now() < endNanos) {
      checkTriggers();
      if (environment != null) {
        handleRestartRequests();
      }
      while (!steps.isEmpty() && steps.peek().atNanos() <= clock.now()) {
        steps.remove().action().run();
      }
      routers.forEach(RouterProcess::poll);
      long second = Math.max(0, clock.now() - startNanos) / NANOS_PER_SECOND;
      if (second != reportedSecond) {
        reportedSecond = second;
        progress.accept(
            second
                + " of "
                + scenario.lengthNanos() / NANOS_PER_SECOND
                + " s, "
                + clients.inFlight()
                + " requests out"
                + activeFaults(second * NANOS_PER_SECOND));
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private void checkTriggers() throws IOException {
    for (int i = 0; i < pendingTriggers.size(); ) {
      long atNanos = environment.triggerTimeNanos(pendingTriggers.get(i).trigger());
      if (atNanos < 0) {
        i++;
      } else {
        pendingTriggers.remove(i).action().accept(atNanos);
      }
    }
  }

  /** Fails if a fault or version never started, as the scenario was then not run as written. */
  private void checkAllTriggersMet() throws IOException {
    if (!pendingTriggers.isEmpty()) {
      throw new IOException(
          "not played as written, this never came about: "
              + pendingTriggers.stream()
                  .map(pending -> pending.trigger().toText())
                  .distinct()
                  .collect(Collectors.joining(", ")));
    }
  }

  private String activeFaults(long atNanos) {
    List<String> names =
        scenario.faults().stream()
            .filter(
                f ->
                    f.after() == null
                        && f.fromNanos() <= atNanos
                        && (f.until() != null || atNanos < f.toNanos()))
            .map(
                f ->
                    f.kind().word()
                        + (f.targets().isEmpty() ? "" : " " + String.join(" ", f.targets())))
            .toList();
    return names.isEmpty() ? "" : "; " + String.join(", ", names);
  }

  /** Waits for the requests in flight, then stops clients, agents and routers. */
  private void settle() throws InterruptedException {
    progress.accept("settling");
    endLastingFaults();
    long maxDeadlineNanos =
        scenario.requestClasses().stream()
            .mapToLong(Scenario.RequestClass::deadlineNanos)
            .max()
            .orElse(0);
    clients.awaitDrained(clock.now() + maxDeadlineNanos * 2 + 2 * NANOS_PER_SECOND);
    clients.finish();
    if (environment != null) {
      environment.stopAgents();
    }
    // A router that is stopped while it starts would be reported as one that died by itself.
    for (Thread restart : restartThreads) {
      restart.join();
    }
    fleetServer.apply(() -> fleetServer.fleet().recoverAll());
    routers.forEach(RouterProcess::poll);
    routers.forEach(RouterProcess::terminate);
    for (RouterProcess routerProcess : routers) {
      routerProcess.awaitExit(STOP_TIMEOUT_MILLIS, true);
    }
    // The stand-ins notice the connections that ended with the routers in their next turns.
    for (int turn = 0; turn < 3; turn++) {
      fleetServer.apply(() -> {});
      Thread.sleep(1);
    }
  }

  /** Ends the faults that last to the end of the run and would keep it from settling. */
  private void endLastingFaults() {
    for (Scenario.FaultSpec fault : scenario.faults()) {
      if (fault.kind() == Fault.Kind.ROUTER_PAUSE) {
        fault.targets().forEach(name -> routers.get(scenario.routerIndex(name)).setPaused(false));
      } else if (fault.kind().needsAgreement()) {
        environment.endFault(fault);
      }
    }
  }

  private void stopRouters() throws InterruptedException {
    for (RouterProcess routerProcess : routers) {
      routerProcess.awaitExit(0, false);
      routerProcess.close();
    }
  }
}
