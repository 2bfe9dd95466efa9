package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.protocol.Json;
import beaconturn.rehearsal.fleet.FaultProxy;
import beaconturn.standin.net.EmulatedFleetServer;
import beaconturn.standin.net.LoopbackPorts;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One router of a play: its address, its files, and the process that stands there at the moment.
 */
final class RouterProcess implements Closeable {
  private static final Logger LOG = Logger.getLogger(RouterProcess.class.getName());
  private static final int READY_MILLIS = 30_000;
  private static final int KILL_MILLIS = 2000;
  private static final int STEP_MILLIS = 10;

  /** What a slow way to a cache server adds to each message. */
  private static final long SLOW_BY = 250_000_000;

  private static final int TRY_MILLIS = 500;
  private static final long MILLI = 1_000_000;
  private static final long MEASURE_EVERY = 500_000_000;
  private static final String PONG = "+PONG";
  private final Scenario scenario;
  private final int number;
  private final EmulatedFleetServer surroundings;
  private final RouterLauncher launcher;
  private final Clock clock;
  private final History account;
  private final Path folder;
  private final FleetEnvironment parts;
  private final InetSocketAddress address;
  private final InetSocketAddress control;
  private final List<SocketChannel> holders = new ArrayList<>();

  /** Whether it runs what is released, and what is wrong with it. */
  private boolean released;

  private Scenario.Harm harm = Scenario.Harm.NONE;
  private volatile RouterLauncher.RunningRouter running;
  private boolean told;
  private boolean terminated;
  private long cpu;
  private long pausedAt;
  private int starts;
  private int reloads;
  private RouterConfigWriter.Addresses configured;
  private Json listed;
  private ProcessUsage footprint = new ProcessUsage(0, 0);
  private long measureAt;

  RouterProcess(
      Scenario scenario,
      int number,
      EmulatedFleetServer surroundings,
      RouterLauncher launcher,
      Clock clock,
      History account,
      Path folder,
      FleetEnvironment parts)
      throws IOException {
    this.parts = parts;
    this.scenario = scenario;
    this.number = number;
    this.surroundings = surroundings;
    this.launcher = launcher;
    this.clock = clock;
    this.account = account;
    this.folder = folder;
    this.address = freeAddress();
    this.control = scenario.release() == null ? null : freeAddress();
  }

  /** Held until the end of the play: nobody takes it between two starts. */
  private InetSocketAddress freeAddress() throws IOException {
    SocketChannel holder = LoopbackPorts.take(LoopbackPorts::hold);
    holders.add(holder);
    return (InetSocketAddress) holder.getLocalAddress();
  }

  /** Lets go of its addresses. */
  @Override
  public void close() {
    for (SocketChannel holder : holders) {
      try {
        holder.close();
      } catch (IOException e) {
        LOG.log(Level.FINE, "closing", e);
      }
    }
  }

  InetSocketAddress address() {
    return address;
  }

  String name() {
    return scenario.routers().get(number).name();
  }

  /** Starts a process; it is not ready yet. */
  void launch() throws IOException {
    InetSocketAddress discovery =
        parts == null ? surroundings.discovery(number) : parts.discovery(number);
    // What refuses knows no cache server and hears of none.
    Json known =
        harm == Scenario.Harm.REFUSES
            ? new JsonObjectBuilder()
                .put("seq", 0)
                .put("whole", true)
                .put("hosts", List.of())
                .build()
            : surroundings.known(number);
    configured =
        new RouterConfigWriter.Addresses(
            text(harm == Scenario.Harm.MUTE ? freeAddress() : address),
            text(harm == Scenario.Harm.REFUSES ? freeAddress() : discovery),
            control == null ? null : text(control));
    listed = known;
    starts++;
    String text = configuration();
    if (harm == Scenario.Harm.CRASH) {
      text = "{}";
    }
    Path config = folder.resolve(name() + ".json");
    Files.writeString(config, text);
    // One that cannot run ends by itself as the scenario has it.
    told = harm == Scenario.Harm.CRASH;
    terminated = false;
    running =
        launcher.launch(
            new RouterLauncher.LaunchOptions(
                name(),
                config,
                parts == null ? null : parts.featuresOf(name()),
                folder.resolve(name() + ".log"),
                scenario.routers().get(number).clockOff(),
                harm == Scenario.Harm.LEAKS ? scenario.release().goodFor() : -1));
  }

  private String configuration() {
    return new RouterConfigWriter(scenario)
        .configOf(
            number, configured, listed, scenario.seed() * 1000 + number * 100L + starts, reloads);
  }

  /** Writes settings that differ from those in force, and has the router read them. */
  void reload() throws IOException {
    if (told || running == null || !running.isAlive() || !answersPing()) {
      // A JVM that still starts has no handler yet, and the signal would end it.
      return;
    }
    reloads++;
    // As an operator's tool does: a router must not read half of it.
    Path aside = folder.resolve(name() + ".json.new");
    Files.writeString(aside, configuration());
    Files.move(
        aside,
        folder.resolve(name() + ".json"),
        StandardCopyOption.REPLACE_EXISTING,
        StandardCopyOption.ATOMIC_MOVE);
    running.reloadConfiguration();
  }

  /** The end of a planned stop, whether it is done or not: what is not answered by now is lost. */
  void killAfterStop() {
    if (terminated && running != null && running.isAlive()) {
      // It was told to end, and may have used all of its time.
      terminated = false;
      running.kill();
    }
  }

  private static String text(InetSocketAddress at) {
    return at.getHostString() + ":" + at.getPort();
  }

  /** Waits until it answers PING; fails with its last log line if it ends or takes too long. */
  void awaitReady() throws IOException, InterruptedException {
    awaitReady(READY_MILLIS);
  }

  private void awaitReady(long millis) throws IOException, InterruptedException {
    long until = clock.now() + millis * MILLI;
    while (clock.now() < until) {
      if (!running.isAlive()) {
        break;
      }
      if (answersPing()) {
        account.add(new HistoryEvent.RouterReady(clock.now(), number));
        return;
      }
      Thread.sleep(STEP_MILLIS);
    }
    throw new IOException("router " + name() + " did not get ready: " + lastLine());
  }

  private boolean answersPing() {
    try (Socket socket = new Socket()) {
      socket.connect(address, TRY_MILLIS);
      socket.setSoTimeout(TRY_MILLIS);
      socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
      byte[] answer = socket.getInputStream().readNBytes(PONG.length());
      return new String(answer, StandardCharsets.US_ASCII).equals(PONG);
    } catch (IOException e) {
      return false;
    }
  }

  private String lastLine() throws IOException {
    Path log = folder.resolve(name() + ".log");
    if (!Files.exists(log)) {
      return "no log";
    }
    String[] lines = Files.readString(log).trim().split("\n");
    return lines[lines.length - 1];
  }

  /**
   * Ends the process and waits until it is gone: up to then it may take requests, which are its
   * clients'.
   */
  void kill() {
    told = true;
    // If it was told to stop before, its end is no planned one any more.
    terminated = false;
    long at = clock.now();
    running.kill();
    try {
      running.awaitExit(KILL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    account.add(new HistoryEvent.RouterStopped(at, clock.now(), number, false));
  }

  void terminate() {
    told = true;
    if (running == null || !running.isAlive()) {
      // Killed before, and not started again by the end of the play.
      return;
    }
    terminated = true;
    account.add(new HistoryEvent.RouterStopped(clock.now(), clock.now(), number, true));
    running.terminate();
  }

  /** Once a fault is over; what an agent has started meanwhile is not the fault's, and runs on. */
  synchronized void startAgain(boolean planned) throws IOException, InterruptedException {
    if (told || running == null || !running.isAlive()) {
      awaitEnd(Rehearsal.END_MILLIS, planned);
      launch();
      awaitReady();
    }
  }

  /**
   * Has the router run what is released, or what was there before; nothing is done where it does.
   * Whether it is ready then.
   *
   * @param front is told when the front goes round it, and when it uses it again
   */
  synchronized boolean change(boolean toReleased, Consumer<Boolean> front)
      throws InterruptedException {
    if (toReleased == released && running != null && running.isAlive() && answersPing()) {
      return true;
    }
    account.add(new HistoryEvent.VariantChangeBegun(clock.now(), name(), number, toReleased));
    released = toReleased;
    harm = toReleased ? scenario.release().harm() : Scenario.Harm.NONE;
    parts.reachesCaches(number, FaultProxy.State.OPEN, 0);
    try {
      boolean alive = running != null && running.isAlive();
      if (alive) {
        terminate();
        Thread.sleep(Rehearsal.FRONT_GOES_ON / MILLI);
      }
      front.accept(true);
      awaitEnd(Rehearsal.END_MILLIS, alive);
      launch();
      awaitReady(scenario.release().limit() / MILLI);
      front.accept(false);
      if (harm == Scenario.Harm.FADES || harm == Scenario.Harm.SLOWS) {
        fade(running, harm == Scenario.Harm.FADES ? FaultProxy.State.CUT : FaultProxy.State.SLOW);
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** The process is good for a while, and then reaches cache servers no more, or slowly. */
  private void fade(RouterLauncher.RunningRouter process, FaultProxy.State then) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(scenario.release().goodFor() / MILLI);
                synchronized (this) {
                  if (running == process) {
                    parts.reachesCaches(number, then, SLOW_BY);
                  }
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "fade");
    thread.setDaemon(true);
    thread.start();
  }

  /** The second address, or null where it has none. */
  InetSocketAddress control() {
    return control;
  }

  /** Has its process stand still, or go on: what it held meanwhile is its clients' to try again. */
  void pause(boolean on) {
    running.setPaused(on);
    if (on) {
      pausedAt = clock.now();
    } else if (pausedAt != 0) {
      account.add(new HistoryEvent.RouterStopped(pausedAt, clock.now(), number, false));
      account.add(new HistoryEvent.RouterReady(clock.now(), number));
      pausedAt = 0;
    }
  }

  /** Notes it if the process has ended though nobody told it to; to be called again and again. */
  void look() {
    RouterLauncher.RunningRouter now = running;
    if (now != null && !told && !now.isAlive()) {
      told = true;
      account.add(new HistoryEvent.RouterDied(clock.now(), number, "ended by itself"));
    } else if (now != null && now.isAlive()) {
      cpu = Math.max(cpu, now.cpuNanos());
      if (clock.now() >= measureAt) {
        measureAt = clock.now() + MEASURE_EVERY;
        footprint = footprint.max(ProcessUsage.of(now.pid()));
      }
    }
  }

  /**
   * Waits for the end of a planned stop; one that has to be killed, or fails, has not ended as
   * planned.
   */
  void awaitEnd(long millis, boolean planned) throws InterruptedException {
    if (running == null) {
      return;
    }
    int status = running.awaitExit(millis);
    if (status < 0) {
      running.kill();
      running.awaitExit(millis);
    }
    if (planned && terminated && status != 0) {
      String how = status < 0 ? "did not end after SIGTERM" : "ended with status " + status;
      account.add(new HistoryEvent.RouterDied(clock.now(), number, how));
    }
    running = null;
  }

  /** The most that its processes held. */
  ProcessUsage footprint() {
    return footprint;
  }

  /** Processor time of its last process, in nanoseconds; 0 where it is not known. */
  long cpuNanos() {
    return Math.max(0, cpu);
  }
}
