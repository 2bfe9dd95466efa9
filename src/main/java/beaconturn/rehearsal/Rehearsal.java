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

/** Plays one scenario from its start to its verdicts. */
public final class Rehearsal {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;

  /** What sockets and threads may add to any limit of the rules. */
  private static final long SOCKET_SLACK = 50 * MILLI;

  private static final long LEAD = 200 * MILLI;

  /** A front goes on to a router that was told to stop. */
  static final long FRONT_GOES_ON = 300 * MILLI;

  private static final long STEP_MILLIS = 20;

  /**
   * After a planned stop was announced a process is killed: the longest deadline, at most, and so
   * long.
   */
  private static final long LONGEST_TO_KILL = 3 * SECOND;

  private static final long TIME_TO_KILL = 700 * MILLI;

  /** A planned stop may take so long. */
  static final long END_MILLIS = 8000;

  private final Scenario scenario;
  private final RouterLauncher launcher;
  private final Path folder;
  private final Consumer<String> progress;
  private final Clock clock = Clock.system();
  private final History account = new History();
  private final List<RouterProcess> seats = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final List<Awaited> awaited = new ArrayList<>();
  private EmulatedFleetServer surroundings;

  /** Null where routers share nothing. */
  private FleetEnvironment parts;

  private OpenLoopClients crowd;
  private final List<Thread> restarts = new ArrayList<>();

  /** By name; empty where no cache servers are released. */
  private final Map<String, RestartableCacheServer> cacheSeats = new HashMap<>();

  private long start;
  private int stepped;

  /** Something that is done to a router at a time. */
  private record Step(long at, int number, Runnable body) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Integer.compare(number, other.number);
    }
  }

  /** What is planned once a cue has come about, from that time on. */
  private record Awaited(Trigger cue, LongConsumer plan) {}

  /**
   * A play; nothing happens before {@link #run}.
   *
   * @param folder where configurations and logs of routers go
   * @param progress is told now and then, in a few words, how far it is
   */
  public Rehearsal(
      Scenario scenario, RouterLauncher launcher, Path folder, Consumer<String> progress) {
    this.scenario = scenario;
    this.launcher = launcher;
    this.folder = folder;
    this.progress = progress;
  }

  /** Plays it; an I/O failure means that it could not be played, not that a rule was broken. */
  public RehearsalReport run() throws IOException, InterruptedException {
    check();
    EventScheduler agenda = new EventScheduler(clock.now());
    EmulatedFleet world =
        new EmulatedFleet(
            agenda,
            scenario.world(),
            new RandomSources(scenario.seed()),
            new HistoryEventWriter(account));
    surroundings = new EmulatedFleetServer(world, clock::now, scenario.routers().size(), 0);
    MachinePauseDetector pauses = new MachinePauseDetector(clock, account, surroundings::soon);
    ClientStatistics tally = new ClientStatistics(scenario);
    try {
      surroundings.start();
      if (scenario.agreement() != null) {
        parts = new FleetEnvironment(scenario, launcher, folder, surroundings, clock, account);
      }
      startRouters();
      startAgents();
      crowd =
          new OpenLoopClients(
              scenario, seats.stream().map(RouterProcess::address).toList(), clock, account, tally);
      long cpu = processCpu();
      pauses.start();
      plan();
      crowd.start(RequestSchedule.of(scenario), start);
      long calls = parts == null ? 0 : parts.calls();
      executeSteps();
      cpu = processCpu() - cpu;
      calls = parts == null ? 0 : parts.calls() - calls;
      settle();
      pauses.stop();
      RehearsalReport.Fleet fleet = fleet(calls);
      playedWhole();
      List<HistoryEvent> entries = account.events();
      return new RehearsalReport(
          scenario,
          start,
          entries,
          HistoryChecker.check(scenario.terms(SOCKET_SLACK), entries),
          tally.lines(),
          cpu,
          seats.stream().mapToLong(RouterProcess::cpuNanos).sum(),
          tally.senderLate(),
          HistoryChecker.pausedNanos(entries),
          fleet);
    } finally {
      pauses.stop();
      endRouters();
      if (parts != null) {
        parts.close();
      }
      surroundings.close();
    }
  }

  private RehearsalReport.Fleet fleet(long calls) throws IOException, InterruptedException {
    return parts == null
        ? null
        : new RehearsalReport.Fleet(
            parts.passages(),
            calls * (double) SECOND / scenario.length(),
            seats.stream()
                .map(RouterProcess::footprint)
                .reduce(new ProcessUsage(0, 0), ProcessUsage::max));
  }

  /** What the routers at hand cannot play is said before anything is started. */
  private void check() throws IOException {
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

  private static long processCpu() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
  }

  private void startRouters() throws IOException, InterruptedException {
    progress.accept("starting " + scenario.routers().size() + " routers");
    for (int i = 0; i < scenario.routers().size(); i++) {
      seats.add(
          new RouterProcess(scenario, i, surroundings, launcher, clock, account, folder, parts));
      seats.get(i).launch();
    }
    for (RouterProcess seat : seats) {
      seat.awaitReady();
    }
  }

  private void startAgents() throws IOException, InterruptedException {
    if (scenario.release() != null && scenario.release().caches()) {
      scenario
          .parts()
          .forEach(
              id ->
                  cacheSeats.put(
                      id, new RestartableCacheServer(scenario, id, surroundings, clock, account)));
    }
    if (parts != null) {
      parts.startAgents(seats.stream().map(RouterProcess::control).toList());
    }
  }

  private void plan() {
    start = clock.now() + LEAD;
    planFaults();
    planVersions();
    planRelease();
  }

  private void planFaults() {
    for (Scenario.FaultSpec fault : scenario.faults()) {
      on(fault.after(), from -> begin(fault, from));
    }
  }

  /** Plans from the time of the cue on, or from the start where there is none. */
  private void on(Trigger cue, LongConsumer plan) {
    if (cue == null) {
      plan.accept(start);
    } else {
      awaited.add(new Awaited(cue, plan));
    }
  }

  private void begin(Scenario.FaultSpec fault, long base) {
    long from = base + fault.from();
    Fault.Target target = fault.kind().target();
    if (scenario.zones() != null) {
      step(from, () -> account.add(new HistoryEvent.FaultChanged(clock.now(), true)));
    }
    if (target == Fault.Target.ROUTER) {
      fault.target().forEach(name -> beginRouter(fault, scenario.router(name), from));
    } else if (fault.kind().needsAgreement()) {
      step(from, () -> parts.begin(fault));
    } else {
      surroundings.tell(() -> standIn(fault, from, true));
    }
    if (fault.until() == null) {
      end(fault, base + fault.to());
    } else {
      awaited.add(new Awaited(fault.until(), cue -> end(fault, cue + fault.to())));
    }
  }

  private void end(Scenario.FaultSpec fault, long to) {
    if (scenario.zones() != null) {
      step(to, () -> account.add(new HistoryEvent.FaultChanged(clock.now(), false)));
    }
    Fault.Target target = fault.kind().target();
    if (target == Fault.Target.ROUTER) {
      fault.target().forEach(name -> endRouter(fault, scenario.router(name), to));
    } else if (fault.kind().needsAgreement()) {
      step(to, () -> parts.end(fault));
    } else if (to < start + scenario.length()) {
      // What lasts to the end of the play is not mended: nobody would see it.
      surroundings.tell(() -> standIn(fault, to, false));
    }
  }

  private void planVersions() {
    for (int i = 0; i < scenario.versions().size(); i++) {
      int number = i + 1;
      Scenario.VersionSpec version = scenario.versions().get(i);
      on(version.after(), from -> step(from + version.at(), () -> parts.propose(number, version)));
    }
  }

  private void planRelease() {
    Scenario.ReleaseSpec release = scenario.release();
    if (release != null && release.begins()) {
      on(release.after(), from -> step(from + release.at(), parts::release));
    }
    for (Scenario.OrderSpec order : scenario.orders()) {
      on(
          order.after(),
          from ->
              step(
                  from + order.at(),
                  () -> {
                    if (order.what().startsWith("zone-")) {
                      account.add(
                          new HistoryEvent.FaultChanged(
                              clock.now(), order.what().equals("zone-drain")));
                    }
                    parts.release(order);
                  }));
    }
  }

  /**
   * Carries out what agents want, each on a thread of its own, as a router takes a while to end and
   * start.
   */
  private void hearWishes() throws IOException {
    for (AgentHook.RestartRequest wish : parts.wishes()) {
      int router = scenario.router(wish.part());
      Thread thread =
          new Thread(
              () -> {
                try {
                  parts.answer(
                      wish,
                      router < 0
                          ? cacheSeats.get(wish.part()).change(wish.released())
                          : seats
                              .get(router)
                              .change(wish.released(), round -> crowd.avoid(router, round)));
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              },
              "wish");
      thread.setDaemon(true);
      thread.start();
      restarts.add(thread);
    }
  }

  /** On the model's thread. */
  private void standIn(Scenario.FaultSpec fault, long at, boolean begins) {
    EmulatedFleet world = surroundings.world();
    if (fault.target().isEmpty()) {
      world
          .scheduler()
          .at(
              at,
              () -> {
                if (begins) {
                  world.begin(fault.kind(), fault.amount());
                } else {
                  world.end(fault.kind());
                }
              });
      return;
    }
    for (String name : fault.target()) {
      int place = world.placeOf(name);
      world
          .scheduler()
          .at(
              at,
              () -> {
                if (begins) {
                  world.begin(fault.kind(), place, fault.amount());
                } else {
                  world.end(fault.kind(), place);
                }
              });
    }
  }

  private void beginRouter(Scenario.FaultSpec fault, int router, long from) {
    RouterProcess seat = seats.get(router);
    if (fault.kind() == Fault.Kind.ROUTER_PAUSE) {
      step(from, () -> seat.pause(true));
      return;
    }
    if (fault.kind() == Fault.Kind.ROUTER_RELOAD) {
      step(from, () -> reload(seat));
      return;
    }
    boolean planned = fault.kind() == Fault.Kind.ROUTER_TERM;
    step(from, planned ? seat::terminate : seat::kill);
    if (planned) {
      long longest = scenario.types().stream().mapToLong(Scenario.Type::deadline).max().orElse(0);
      step(from + Math.min(longest, LONGEST_TO_KILL) + TIME_TO_KILL, seat::killAfterStop);
    }
    step(
        from + (planned ? FRONT_GOES_ON : scenario.clients().get(0).notice()),
        () -> crowd.avoid(router, true));
  }

  private void endRouter(Scenario.FaultSpec fault, int router, long to) {
    if (fault.kind() == Fault.Kind.ROUTER_PAUSE) {
      step(to, () -> seats.get(router).pause(false));
      return;
    }
    if (fault.kind() == Fault.Kind.ROUTER_RELOAD) {
      step(to, () -> reload(seats.get(router)));
      return;
    }
    step(
        to,
        () -> {
          Thread thread =
              new Thread(() -> restart(router, fault.kind() == Fault.Kind.ROUTER_TERM), "restart");
          thread.setDaemon(true);
          thread.start();
          restarts.add(thread);
        });
  }

  private void reload(RouterProcess seat) {
    try {
      seat.reload();
    } catch (IOException e) {
      throw new UncheckedIOException(
          "the configuration of " + seat.name() + " cannot be written", e);
    }
  }

  private void step(long at, Runnable body) {
    steps.add(new Step(at, ++stepped, body));
  }

  private void restart(int router, boolean planned) {
    RouterProcess seat = seats.get(router);
    try {
      seat.startAgain(planned);
      crowd.avoid(router, false);
    } catch (IOException e) {
      account.add(new HistoryEvent.RouterDied(clock.now(), router, e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void executeSteps() throws IOException, InterruptedException {
    long end = start + scenario.length();
    long told = 0;
    while (clock.now() < end) {
      hearCues();
      if (parts != null) {
        hearWishes();
      }
      while (!steps.isEmpty() && steps.peek().at() <= clock.now()) {
        steps.remove().body().run();
      }
      seats.forEach(RouterProcess::look);
      long second = Math.max(0, clock.now() - start) / SECOND;
      if (second != told) {
        told = second;
        progress.accept(
            second
                + " of "
                + scenario.length() / SECOND
                + " s, "
                + crowd.out()
                + " requests out"
                + active(second * SECOND));
      }
      Thread.sleep(STEP_MILLIS);
    }
  }

  private void hearCues() throws IOException {
    for (int i = 0; i < awaited.size(); ) {
      long at = parts.cameAbout(awaited.get(i).cue());
      if (at < 0) {
        i++;
      } else {
        awaited.remove(i).plan().accept(at);
      }
    }
  }

  /** A play in which something never began has not shown what its scenario is about. */
  private void playedWhole() throws IOException {
    if (!awaited.isEmpty()) {
      throw new IOException(
          "not played as written, this never came about: "
              + awaited.stream()
                  .map(a -> a.cue().toText())
                  .distinct()
                  .collect(Collectors.joining(", ")));
    }
  }

  private String active(long at) {
    List<String> names =
        scenario.faults().stream()
            .filter(f -> f.after() == null && f.from() <= at && (f.until() != null || at < f.to()))
            .map(
                f ->
                    f.kind().word()
                        + (f.target().isEmpty() ? "" : " " + String.join(" ", f.target())))
            .toList();
    return names.isEmpty() ? "" : "; " + String.join(", ", names);
  }

  /** Lets what is out come to its end, stops the routers as planned and lets go of everything. */
  private void settle() throws InterruptedException {
    progress.accept("settling");
    mend();
    long longest = scenario.types().stream().mapToLong(Scenario.Type::deadline).max().orElse(0);
    crowd.drained(clock.now() + longest * 2 + 2 * SECOND);
    crowd.finish();
    if (parts != null) {
      parts.endAgents();
    }
    // One that still starts would be ended before it is ready, which is no offence of its own.
    for (Thread restart : restarts) {
      restart.join();
    }
    surroundings.tell(() -> surroundings.world().recoverAll());
    seats.forEach(RouterProcess::look);
    seats.forEach(RouterProcess::terminate);
    for (RouterProcess seat : seats) {
      seat.awaitEnd(END_MILLIS, true);
    }
    // A turn of the stand-ins after the last end, which sees the connections that ended with it.
    for (int turn = 0; turn < 3; turn++) {
      surroundings.tell(() -> {});
      Thread.sleep(1);
    }
  }

  /** Ends what lasts to the end of the play and would keep it from settling. */
  private void mend() {
    for (Scenario.FaultSpec fault : scenario.faults()) {
      if (fault.kind() == Fault.Kind.ROUTER_PAUSE) {
        fault.target().forEach(name -> seats.get(scenario.router(name)).pause(false));
      } else if (fault.kind().needsAgreement()) {
        parts.end(fault);
      }
    }
  }

  private void endRouters() throws InterruptedException {
    for (RouterProcess seat : seats) {
      seat.awaitEnd(0, false);
      seat.close();
    }
  }
}
