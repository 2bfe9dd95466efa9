package beaconturn.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Models one cache server process: workers with a bounded queue, a read-through cache in front of
 * the origin, a cold start with warm-up, responses in the order of each connection's commands, and
 * a collapse under overload. Single-threaded; must not be used after its death.
 */
public final class CacheServerModel {
  private static final CacheResponse.Corruption[] CORRUPTIONS = CacheResponse.Corruption.values();

  /** Weight of a new sample in the mean latency of the load report. */
  private static final double LATENCY_SMOOTHING = 0.05;

  private final SharedParts shared;
  private final EndpointListing listing;
  private final CacheServerSpec spec;
  private final UniformRandomProvider random;
  private final FaultState faults = new FaultState();
  private final ObjectCache objects;
  private final WorkWindow offeredWork;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final Queue<Job> queue = new ArrayDeque<>();
  private final Map<String, List<LongConsumer>> pendingFetches = new HashMap<>();
  private final List<Runnable> stalledSteps = new ArrayList<>();
  private int busyWorkers;
  private int inFlight;
  private double meanLatencyNanos;
  private boolean dead;

  /**
   * The parts that all cache servers of a fleet share.
   *
   * @param invalidateElsewhere drops a key's copies on all cache servers
   */
  record SharedParts(
      EventScheduler scheduler,
      OriginModel origin,
      DeduplicationLog deduplication,
      List<WorkCost> costs,
      HistoryRecorder recorder,
      Consumer<String> invalidateElsewhere) {}

  CacheServerModel(
      SharedParts shared,
      EndpointListing listing,
      CacheServerSpec spec,
      UniformRandomProvider random) {
    this.shared = shared;
    this.listing = listing;
    this.spec = spec;
    this.random = random;
    this.objects = new ObjectCache(spec.capacityBytes(), spec.timeToLiveNanos());
    this.offeredWork = new WorkWindow(spec.overloadNanos());
    shared.recorder().serverStarted(now(), listing, spec.workers() * spec.speed());
  }

  /** Work for a command or a new connection, from the queue to its completion. */
  private final class Job {
    /** The command, or null for a new connection. */
    private final Slot slot;

    private final long workNanos;
    private final long arrivedNanos = now();
    private EventScheduler.Task completion;

    private Job(Slot slot, long workNanos) {
      this.slot = slot;
      this.workNanos = workNanos;
    }
  }

  /** A command and its position in the order of responses. */
  private static final class Slot {
    private final Session session;
    private final CacheCommand command;
    private final long workNanos;
    private boolean started;
    private CacheResponse response;
    private Job job;

    private Slot(Session session, CacheCommand command, long workNanos) {
      this.session = session;
      this.command = command;
      this.workNanos = workNanos;
    }
  }

  /** One connection; the socket front reports its commands and its end. */
  public final class Session {
    private final CacheServerConnection connection;
    private final int router;
    private final long number;
    private final boolean overLimit;

    /** Commands without a sent response, in the order of their arrival. */
    private final Queue<Slot> slots = new ArrayDeque<>();

    private final Queue<Slot> notStarted = new ArrayDeque<>();
    private int startedCount;
    private boolean ended;

    private Session(CacheServerConnection connection, int router, long number, boolean overLimit) {
      this.connection = connection;
      this.router = router;
      this.number = number;
      this.overLimit = overLimit;
    }

    /** Handles a complete command. */
    public void command(CacheCommand command) {
      if (ended) {
        return;
      }
      long workNanos =
          (long)
              (WorkCost.forClass(shared.costs(), command.requestClass()).workNanos()
                  * (0.5 + random.nextDouble()));
      shared.recorder().commandReceived(now(), listing.host(), router, number, command, workNanos);
      Slot slot = new Slot(this, command, workNanos);
      slots.add(slot);
      notStarted.add(slot);
      countOfferedWork(workNanos);
      startNext();
    }

    /** Handles the end of the connection, in the given turn of the event loop. */
    public void connectionClosed(long turn) {
      if (ended) {
        return;
      }
      ended = true;
      sessions.remove(this);
      shared.recorder().connectionClosed(now(), turn, number);
      for (Slot slot : slots) {
        abandon(slot);
      }
    }

    private void startNext() {
      while (!ended && !notStarted.isEmpty() && startedCount < spec.multiplex()) {
        startCommand(notStarted.remove());
      }
    }

    /** Sends responses in order, up to the first command whose response is not ready. */
    private void flush() {
      while (!ended && !faults.stalled() && !slots.isEmpty() && slots.peek().response != null) {
        Slot first = slots.remove();
        shared.recorder().responseSent(now(), first.command, first.response);
        connection.respond(first.response);
      }
    }
  }

  /** Opens a connection; router and connection number appear in the history only. */
  public Session open(CacheServerConnection connection, int router, long number) {
    Session session =
        new Session(connection, router, number, sessions.size() >= spec.maxConnections());
    sessions.add(session);
    if (!session.overLimit && spec.connectWorkNanos() > 0) {
      enqueue(new Job(null, spec.connectWorkNanos()));
    }
    return session;
  }

  private void startCommand(Slot slot) {
    slot.started = true;
    slot.session.startedCount++;
    inFlight++;
    if (faults.draining()) {
      respond(slot, new CacheResponse.Busy("draining"));
    } else if (slot.session.overLimit) {
      respond(slot, new CacheResponse.Busy("too many connections"));
    } else if (queue.size() >= spec.queueCapacity() && busyWorkers >= spec.workers()) {
      respond(slot, new CacheResponse.Busy("queue full"));
    } else if (random.nextDouble() < faults.resetShare()) {
      slot.session.connection.reset();
    } else if (random.nextDouble() < faults.errorShare()) {
      respond(slot, new CacheResponse.Failed("failed"));
    } else {
      slot.job = new Job(slot, slot.workNanos);
      enqueue(slot.job);
    }
  }

  private void enqueue(Job job) {
    queue.add(job);
    startQueuedJobs();
  }

  private void startQueuedJobs() {
    while (!dead && !faults.stalled() && busyWorkers < spec.workers() && !queue.isEmpty()) {
      Job next = queue.remove();
      if (next.slot != null && next.arrivedNanos + next.slot.command.timeoutNanos() < now()) {
        respond(next.slot, new CacheResponse.Busy("over"));
        continue;
      }
      busyWorkers++;
      long durationNanos = (long) (next.workNanos * faults.slowdown() / (spec.speed() * warmth()));
      next.completion =
          shared.scheduler().in(durationNanos, () -> whenNotStalled(() -> jobDone(next)));
    }
  }

  /** Runs a step now, or as soon as the server is no longer stalled. */
  private void whenNotStalled(Runnable step) {
    if (faults.stalled()) {
      stalledSteps.add(step);
    } else if (!dead) {
      step.run();
    }
  }

  private void jobDone(Job job) {
    job.completion = null;
    busyWorkers--;
    if (job.slot != null) {
      if (job.slot.command.write()) {
        write(job.slot);
      } else {
        read(job.slot);
      }
    }
    startQueuedJobs();
  }

  private void read(Slot slot) {
    CacheCommand command = slot.command;
    ObjectCache.Item found = objects.get(command.key(), now());
    if (found != null) {
      serveRead(slot, found.version(), CacheResponse.Outcome.HIT, found.size());
      return;
    }
    boolean pending = pendingFetches.containsKey(command.key());
    CacheResponse.Outcome outcome =
        pending ? CacheResponse.Outcome.PENDING : CacheResponse.Outcome.MISS;
    LongConsumer waiter = version -> whenNotStalled(() -> fetchCompleted(slot, version, outcome));
    List<LongConsumer> waiters =
        pendingFetches.computeIfAbsent(command.key(), k -> new ArrayList<>());
    waiters.add(waiter);
    if (!pending) {
      shared
          .origin()
          .fetch(
              listing.host(),
              cold(),
              command.key(),
              version -> sharedFetchCompleted(command, waiters, version));
    } else if (!spec.sharesFetches()) {
      waiters.remove(waiter);
      shared.origin().fetch(listing.host(), cold(), command.key(), waiter);
    }
  }

  private void sharedFetchCompleted(
      CacheCommand command, List<LongConsumer> waiters, long version) {
    pendingFetches.remove(command.key());
    if (!dead && version != OriginModel.FAILED) {
      objects.put(command.key(), version, size(command), now());
    }
    waiters.forEach(waiter -> waiter.accept(version));
  }

  private void fetchCompleted(Slot slot, long version, CacheResponse.Outcome outcome) {
    if (version == OriginModel.FAILED) {
      respond(slot, new CacheResponse.Failed("origin"));
    } else {
      serveRead(slot, version, outcome, size(slot.command));
    }
  }

  private void write(Slot slot) {
    CacheCommand command = slot.command;
    WorkCost cost = WorkCost.forClass(shared.costs(), command.requestClass());
    boolean keyed = cost.idempotencyKeys() && command.idempotencyKey() != null;
    if (keyed
        && !shared
            .deduplication()
            .recordIfFirst(
                deduplicationGroup(cost.deduplicationScope()),
                command.idempotencyKey(),
                cost.deduplicationWindowNanos(),
                now())) {
      shared.recorder().commandExecuted(now(), command, true);
      respondWritten(slot, shared.origin().version(command.key()));
      return;
    }
    String effect = keyed ? command.idempotencyKey() : command.id();
    shared
        .origin()
        .write(
            listing.host(),
            cold(),
            command.key(),
            effect,
            version -> {
              if (version == OriginModel.FAILED) {
                if (keyed) {
                  shared
                      .deduplication()
                      .forget(
                          deduplicationGroup(cost.deduplicationScope()), command.idempotencyKey());
                }
                whenNotStalled(() -> respond(slot, new CacheResponse.Failed("origin")));
                return;
              }
              shared.recorder().commandExecuted(now(), command, false);
              shared.invalidateElsewhere().accept(command.key());
              whenNotStalled(() -> respondWritten(slot, version));
            });
  }

  private String deduplicationGroup(String scope) {
    return switch (scope) {
      case "zone" -> "zone " + listing.site();
      case "cell" -> "cell " + listing.site() + " " + listing.block();
      default -> "all";
    };
  }

  private void serveRead(Slot slot, long version, CacheResponse.Outcome outcome, int size) {
    shared.recorder().commandExecuted(now(), slot.command, false);
    respondValue(slot, version, outcome, size);
  }

  private void respondWritten(Slot slot, long version) {
    respondValue(slot, version, CacheResponse.Outcome.WRITTEN, 0);
  }

  /** Responds with a value unique to the request, so that the history shows whose it is. */
  private void respondValue(Slot slot, long version, CacheResponse.Outcome outcome, int size) {
    CacheCommand command = slot.command;
    byte[] text =
        (command.key()
                + " v"
                + version
                + " for "
                + command.id()
                + " by "
                + listing.host()
                + " #"
                + command.number()
                + " ")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] bytes = Arrays.copyOf(text, Math.max(size, text.length));
    Arrays.fill(bytes, text.length, bytes.length, (byte) '.');
    CacheResponse.Value value = new CacheResponse.Value(bytes, outcome, loadReport());
    boolean corrupt = random.nextDouble() < faults.corruptionShare();
    respond(
        slot,
        corrupt
            ? new CacheResponse.Corrupted(value, CORRUPTIONS[random.nextInt(CORRUPTIONS.length)])
            : value);
  }

  private String loadReport() {
    if (spec.loadReportFields().isEmpty()) {
      return null;
    }
    List<String> fields = new ArrayList<>();
    for (String name : spec.loadReportFields()) {
      double value =
          switch (name) {
            case "inflight" -> inFlight;
            case "latency_ms" -> meanLatencyNanos / 1e6;
            default -> busyWorkers;
          };
      fields.add(name + "=" + Math.round(value * 100) / 100.0);
    }
    return String.join(",", fields);
  }

  private void respond(Slot slot, CacheResponse response) {
    if (slot.response != null || slot.session.ended) {
      return;
    }
    slot.response = response;
    inFlight--;
    slot.session.startedCount--;
    if (slot.job != null) {
      meanLatencyNanos += LATENCY_SMOOTHING * (now() - slot.job.arrivedNanos - meanLatencyNanos);
    }
    slot.session.flush();
    slot.session.startNext();
  }

  /**
   * Drops a command whose connection has ended: queued work is removed, running work is stopped if
   * the specification says so.
   */
  private void abandon(Slot slot) {
    Job job = slot.job;
    inFlight -= slot.started && slot.response == null ? 1 : 0;
    if (job == null || slot.response != null || queue.remove(job)) {
      return;
    }
    if (job.completion != null && spec.cancelsRunningWork() && !faults.stalled()) {
      job.completion.cancel();
      job.completion = null;
      busyWorkers--;
      startQueuedJobs();
    }
  }

  /** Counts offered work, completed or not; a cold server that is offered too much collapses. */
  private void countOfferedWork(long workNanos) {
    long offeredNanos = offeredWork.add(now(), workNanos);
    if (!dead
        && cold()
        && offeredNanos
            > spec.overloadMultiple()
                * warmth()
                * spec.workers()
                * spec.speed()
                * spec.overloadNanos()) {
      shared.recorder().overloaded(now(), listing.host());
      die();
    }
  }

  /** Ends the process: resets connections and drops all work but the calls to the origin. */
  void die() {
    dead = true;
    List.copyOf(sessions).forEach(session -> session.connection.reset());
    queue.clear();
    stalledSteps.clear();
    objects.clear();
  }

  /** Sets one fault of the server and applies it. */
  void setFault(Fault.Kind kind, double amount) {
    faults.set(kind, amount);
    resumeIfRunning();
    if (kind == Fault.Kind.RESET && amount > 0) {
      List.copyOf(sessions).forEach(session -> session.connection.reset());
    }
  }

  /** Clears all faults; a dead server stays dead. */
  void clearFaults() {
    faults.clear();
    resumeIfRunning();
  }

  private void resumeIfRunning() {
    if (!faults.stalled() && !dead) {
      List<Runnable> due = List.copyOf(stalledSteps);
      stalledSteps.clear();
      due.forEach(Runnable::run);
      List.copyOf(sessions).forEach(Session::flush);
      startQueuedJobs();
    }
  }

  /** Drops the object of a key that was written through some cache server. */
  void invalidate(String key) {
    objects.drop(key);
  }

  /** Returns whether the server is still warming up. */
  public boolean cold() {
    return warmth() < 1;
  }

  private double warmth() {
    return spec.warmth(listing.startedAtNanos(), now());
  }

  private int size(CacheCommand command) {
    return WorkCost.forClass(shared.costs(), command.requestClass()).valueBytes();
  }

  private long now() {
    return shared.scheduler().now();
  }

  /** Returns the server's entry in the endpoint list, as of its start. */
  public EndpointListing listing() {
    return listing;
  }

  /** Returns the faults of the server. */
  public FaultState faults() {
    return faults;
  }

  /** Returns whether the process was killed or has collapsed. */
  public boolean dead() {
    return dead;
  }

  /** Returns the number of open connections. */
  public int connections() {
    return sessions.size();
  }

  /** Returns the number of commands that were started and have no response yet. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the number of cached objects. */
  public int objects() {
    return objects.count();
  }

  /** Returns the size of the cached objects in bytes, with an overhead for each. */
  public long bytes() {
    return objects.bytes();
  }
}
