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
 * One router of a rehearsal: its reserved addresses, its files, and its current process, which
 * faults and agents stop and restart.
 */
final class RouterProcess implements Closeable {
  private static final Logger LOG = Logger.getLogger(RouterProcess.class.getName());
  private static final int READY_TIMEOUT_MILLIS = 30_000;
  private static final int KILL_TIMEOUT_MILLIS = 2000;
  private static final int POLL_INTERVAL_MILLIS = 10;

  /** Delay of each message on a slow link to a cache server. */
  private static final long SLOW_LINK_DELAY_NANOS = 250_000_000;

  private static final int PING_TIMEOUT_MILLIS = 500;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long USAGE_SAMPLE_INTERVAL_NANOS = 500_000_000;
  private static final String PONG_REPLY = "+PONG";
  private final Scenario scenario;
  private final int index;
  private final EmulatedFleetServer fleetServer;
  private final RouterLauncher launcher;
  private final Clock clock;
  private final History history;
  private final Path folder;
  private final FleetEnvironment environment;
  private final InetSocketAddress address;
  private final InetSocketAddress adminAddress;
  private final List<SocketChannel> portHolders = new ArrayList<>();

  /** Whether the process runs the released variant. */
  private boolean released;

  /** The defect of the variant that the process runs. */
  private Scenario.Defect defect = Scenario.Defect.NONE;

  private volatile RouterLauncher.RunningRouter running;

  /** Whether the end of the process is expected, or was already recorded. */
  private boolean exitExpected;

  private boolean stopping;
  private long cpuNanos;
  private long pausedAtNanos;
  private int startCount;
  private int reloadCount;
  private RouterConfigWriter.Addresses configuredAddresses;
  private Json initialList;
  private ProcessUsage peakUsage = new ProcessUsage(0, 0);
  private long nextUsageSampleNanos;

  RouterProcess(
      Scenario scenario,
      int index,
      EmulatedFleetServer fleetServer,
      RouterLauncher launcher,
      Clock clock,
      History history,
      Path folder,
      FleetEnvironment environment)
      throws IOException {
    this.environment = environment;
    this.scenario = scenario;
    this.index = index;
    this.fleetServer = fleetServer;
    this.launcher = launcher;
    this.clock = clock;
    this.history = history;
    this.folder = folder;
    this.address = reserveAddress();
    this.adminAddress = scenario.release() == null ? null : reserveAddress();
  }

  /** Reserves an address until {@link #close}, so that no other process takes it between starts. */
  private InetSocketAddress reserveAddress() throws IOException {
    SocketChannel holder = LoopbackPorts.bindFree(LoopbackPorts::reserve);
    portHolders.add(holder);
    return (InetSocketAddress) holder.getLocalAddress();
  }

  /** Releases the reserved addresses. */
  @Override
  public void close() {
    for (SocketChannel holder : portHolders) {
      try {
        holder.close();
      } catch (IOException e) {
        LOG.log(Level.FINE, "a reserved address was not released", e);
      }
    }
  }

  InetSocketAddress address() {
    return address;
  }

  String name() {
    return scenario.routers().get(index).name();
  }

  /** Starts a process without waiting until it is ready. */
  void launch() throws IOException {
    InetSocketAddress discovery =
        environment == null
            ? fleetServer.discoveryAddress(index)
            : environment.discoveryAddress(index);
    // A variant that rejects every request starts with an empty endpoint list and gets no update.
    Json endpointList =
        defect == Scenario.Defect.REFUSES
            ? new JsonObjectBuilder()
                .put("seq", 0)
                .put("whole", true)
                .put("hosts", List.of())
                .build()
            : fleetServer.initialEndpointList(index);
    configuredAddresses =
        new RouterConfigWriter.Addresses(
            hostAndPort(defect == Scenario.Defect.MUTE ? reserveAddress() : address),
            hostAndPort(defect == Scenario.Defect.REFUSES ? reserveAddress() : discovery),
            adminAddress == null ? null : hostAndPort(adminAddress));
    initialList = endpointList;
    startCount++;
    String text = configuration();
    if (defect == Scenario.Defect.CRASH) {
      text = "{}";
    }
    Path config = folder.resolve(name() + ".json");
    Files.writeString(config, text);
    // A variant that crashes is expected to end by itself.
    exitExpected = defect == Scenario.Defect.CRASH;
    stopping = false;
    running =
        launcher.launch(
            new RouterLauncher.LaunchOptions(
                name(),
                config,
                environment == null ? null : environment.featuresFile(name()),
                folder.resolve(name() + ".log"),
                scenario.routers().get(index).clockOffsetNanos(),
                defect == Scenario.Defect.LEAKS ? scenario.release().healthyNanos() : -1));
  }

  private String configuration() {
    return new RouterConfigWriter(scenario)
        .configOf(
            index,
            configuredAddresses,
            initialList,
            scenario.seed() * 1000 + index * 100L + startCount,
            reloadCount);
  }

  /** Writes changed settings and sends SIGHUP; no effect while the router does not respond. */
  void reload() throws IOException {
    if (exitExpected || running == null || !running.isAlive() || !respondsToPing()) {
      // A JVM that still starts has no handler yet, and the signal would end it.
      return;
    }
    reloadCount++;
    // Replaced atomically, so that the router never reads a half-written file.
    Path temporaryFile = folder.resolve(name() + ".json.new");
    Files.writeString(temporaryFile, configuration());
    Files.move(
        temporaryFile,
        folder.resolve(name() + ".json"),
        StandardCopyOption.REPLACE_EXISTING,
        StandardCopyOption.ATOMIC_MOVE);
    running.reloadConfiguration();
  }

  /** Kills the process if its planned stop has not finished; its open requests are lost. */
  void killIfStillStopping() {
    if (stopping && running != null && running.isAlive()) {
      // From here on the end of the process does not count as a planned stop.
      stopping = false;
      running.kill();
    }
  }

  private static String hostAndPort(InetSocketAddress socketAddress) {
    return socketAddress.getHostString() + ":" + socketAddress.getPort();
  }

  /** Waits until the router responds to PING; fails with its last log line otherwise. */
  void awaitReady() throws IOException, InterruptedException {
    awaitReady(READY_TIMEOUT_MILLIS);
  }

  private void awaitReady(long timeoutMillis) throws IOException, InterruptedException {
    long deadlineNanos = clock.now() + timeoutMillis * NANOS_PER_MILLI;
    while (clock.now() < deadlineNanos) {
      if (!running.isAlive()) {
        break;
      }
      if (respondsToPing()) {
        history.add(new HistoryEvent.RouterReady(clock.now(), index));
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    throw new IOException("router " + name() + " did not get ready: " + lastLogLine());
  }

  private boolean respondsToPing() {
    try (Socket socket = new Socket()) {
      socket.connect(address, PING_TIMEOUT_MILLIS);
      socket.setSoTimeout(PING_TIMEOUT_MILLIS);
      socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
      byte[] reply = socket.getInputStream().readNBytes(PONG_REPLY.length());
      return new String(reply, StandardCharsets.US_ASCII).equals(PONG_REPLY);
    } catch (IOException e) {
      return false;
    }
  }

  private String lastLogLine() throws IOException {
    Path log = folder.resolve(name() + ".log");
    if (!Files.exists(log)) {
      return "no log";
    }
    String[] lines = Files.readString(log).trim().split("\n");
    return lines[lines.length - 1];
  }

  /**
   * Kills the process and waits for its end: until then it may accept requests, which are recorded
   * as interrupted by the kill.
   */
  void kill() {
    exitExpected = true;
    // The kill replaces a planned stop that was announced before.
    stopping = false;
    long atNanos = clock.now();
    running.kill();
    try {
      running.awaitExit(KILL_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    history.add(new HistoryEvent.RouterStopped(atNanos, clock.now(), index, false));
  }

  void terminate() {
    exitExpected = true;
    if (running == null || !running.isAlive()) {
      // A fault killed the router, which was not restarted before the end of the run.
      return;
    }
    stopping = true;
    history.add(new HistoryEvent.RouterStopped(clock.now(), clock.now(), index, true));
    running.terminate();
  }

  /**
   * Restarts the router at the end of a fault; a process that an agent has started in the meantime
   * keeps running.
   */
  synchronized void restart(boolean planned) throws IOException, InterruptedException {
    if (exitExpected || running == null || !running.isAlive()) {
      awaitExit(Rehearsal.STOP_TIMEOUT_MILLIS, planned);
      launch();
      awaitReady();
    }
  }

  /**
   * Restarts the router with the released variant or the previous one, unless it already runs it.
   *
   * @param front receives true when the front starts to avoid the router, and false when it uses
   *     the router again
   * @return whether the router is ready
   */
  synchronized boolean changeVariant(boolean toReleased, Consumer<Boolean> front)
      throws InterruptedException {
    if (toReleased == released && running != null && running.isAlive() && respondsToPing()) {
      return true;
    }
    history.add(new HistoryEvent.VariantChangeStarted(clock.now(), name(), index, toReleased));
    released = toReleased;
    defect = toReleased ? scenario.release().defect() : Scenario.Defect.NONE;
    environment.setCacheLinkState(index, FaultProxy.State.OPEN, 0);
    try {
      boolean alive = running != null && running.isAlive();
      if (alive) {
        terminate();
        Thread.sleep(Rehearsal.FRONT_REACTION_NANOS / NANOS_PER_MILLI);
      }
      front.accept(true);
      awaitExit(Rehearsal.STOP_TIMEOUT_MILLIS, alive);
      launch();
      awaitReady(scenario.release().readyTimeoutNanos() / NANOS_PER_MILLI);
      front.accept(false);
      if (defect == Scenario.Defect.FADES || defect == Scenario.Defect.SLOWS) {
        degradeLater(
            running,
            defect == Scenario.Defect.FADES ? FaultProxy.State.CUT : FaultProxy.State.SLOW);
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Cuts or slows the links to cache servers once the variant's healthy period is over. */
  private void degradeLater(RouterLauncher.RunningRouter process, FaultProxy.State degradedState) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(scenario.release().healthyNanos() / NANOS_PER_MILLI);
                synchronized (this) {
                  if (running == process) {
                    environment.setCacheLinkState(index, degradedState, SLOW_LINK_DELAY_NANOS);
                  }
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "degrade-links");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the admin address, or null if the router has none. */
  InetSocketAddress adminAddress() {
    return adminAddress;
  }

  /**
   * Pauses or resumes the process; requests that it held are recorded as interrupted, for clients
   * to retry.
   */
  void setPaused(boolean paused) {
    running.setPaused(paused);
    if (paused) {
      pausedAtNanos = clock.now();
    } else if (pausedAtNanos != 0) {
      history.add(new HistoryEvent.RouterStopped(pausedAtNanos, clock.now(), index, false));
      history.add(new HistoryEvent.RouterReady(clock.now(), index));
      pausedAtNanos = 0;
    }
  }

  /** Records an unexpected end of the process and samples its usage; called periodically. */
  void poll() {
    RouterLauncher.RunningRouter current = running;
    if (current != null && !exitExpected && !current.isAlive()) {
      exitExpected = true;
      history.add(new HistoryEvent.RouterCrashed(clock.now(), index, "ended by itself"));
    } else if (current != null && current.isAlive()) {
      cpuNanos = Math.max(cpuNanos, current.cpuNanos());
      if (clock.now() >= nextUsageSampleNanos) {
        nextUsageSampleNanos = clock.now() + USAGE_SAMPLE_INTERVAL_NANOS;
        peakUsage = peakUsage.max(ProcessUsage.of(current.pid()));
      }
    }
  }

  /**
   * Waits for the end of the process and kills it after the time limit. A planned stop that had to
   * be killed or exited with an error is recorded as a failure.
   */
  void awaitExit(long timeoutMillis, boolean planned) throws InterruptedException {
    if (running == null) {
      return;
    }
    int exitStatus = running.awaitExit(timeoutMillis);
    if (exitStatus < 0) {
      running.kill();
      running.awaitExit(timeoutMillis);
    }
    if (planned && stopping && exitStatus != 0) {
      String reason =
          exitStatus < 0 ? "did not end after SIGTERM" : "ended with status " + exitStatus;
      history.add(new HistoryEvent.RouterCrashed(clock.now(), index, reason));
    }
    running = null;
  }

  /** Returns the peak usage of all processes of this router. */
  ProcessUsage peakUsage() {
    return peakUsage;
  }

  /** Returns the processor time of the last process, or 0 if it is unknown. */
  long cpuNanos() {
    return Math.max(0, cpuNanos);
  }
}
