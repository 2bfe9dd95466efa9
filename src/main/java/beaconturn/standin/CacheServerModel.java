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
 * One cache server process: workers and a waiting room, objects with a size and a life, a cold
 * start that warms with time, answers in the order of each connection's commands, and a collapse
 * when it is pushed over. It reads through: what it lacks comes from the origin. Not to be used any
 * more once it is dead.
 */
public final class CacheServerModel {
  private static final CacheResponse.Spoiling[] WAYS = CacheResponse.Spoiling.values();
  private final Site site;
  private final EndpointListing listing;
  private final CacheServerSpec shape;
  private final UniformRandomProvider random;
  private final FaultState condition = new FaultState();
  private final ObjectCache store;
  private final WorkWindow load;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final Queue<Job> waiting = new ArrayDeque<>();
  private final Map<String, List<LongConsumer>> fetches = new HashMap<>();
  private final List<Runnable> frozen = new ArrayList<>();
  private int busy;
  private int held;
  private double latency;
  private boolean dead;

  /**
   * What all cache servers of a model have in common; {@code voided} drops a key's copies
   * elsewhere.
   */
  record Site(
      EventScheduler agenda,
      OriginModel origin,
      DeduplicationLog repeats,
      List<WorkCost> works,
      HistoryRecorder witness,
      Consumer<String> voided) {}

  CacheServerModel(
      Site site, EndpointListing listing, CacheServerSpec shape, UniformRandomProvider random) {
    this.site = site;
    this.listing = listing;
    this.shape = shape;
    this.random = random;
    this.store = new ObjectCache(shape.capacity(), shape.timeToLive());
    this.load = new WorkWindow(shape.fallAfter());
    site.witness().started(now(), listing, shape.workers() * shape.speed());
  }

  /** Work on a command or on a new connection, from the waiting room to its end. */
  private final class Job {
    private final Slot slot;
    private final long work;
    private final long came = now();
    private EventScheduler.Task end;

    private Job(Slot slot, long work) {
      this.slot = slot;
      this.work = work;
    }
  }

  /** A command's place in the order of answers. */
  private static final class Slot {
    private final Session session;
    private final CacheCommand command;
    private final long work;
    private boolean begun;
    private CacheResponse reply;
    private Job job;

    private Slot(Session session, CacheCommand command, long work) {
      this.session = session;
      this.command = command;
      this.work = work;
    }
  }

  /** One connection; a front tells it what was read and when it has ended. */
  public final class Session {
    private final CacheServerConnection line;
    private final int router;
    private final long number;
    private final boolean over;
    private final Queue<Slot> slots = new ArrayDeque<>();
    private final Queue<Slot> unbegun = new ArrayDeque<>();
    private int begun;
    private boolean ended;

    private Session(CacheServerConnection line, int router, long number, boolean over) {
      this.line = line;
      this.router = router;
      this.number = number;
      this.over = over;
    }

    /** A command has come whole. */
    public void command(CacheCommand command) {
      if (ended) {
        return;
      }
      long work =
          (long) (WorkCost.of(site.works(), command.type()).work() * (0.5 + random.nextDouble()));
      site.witness().commanded(now(), listing.host(), router, number, command, work);
      Slot slot = new Slot(this, command, work);
      slots.add(slot);
      unbegun.add(slot);
      pushed(work);
      next();
    }

    /** Nothing comes or goes any more; {@code turn} is the driver's. */
    public void ended(long turn) {
      if (ended) {
        return;
      }
      ended = true;
      sessions.remove(this);
      site.witness().ended(now(), turn, number);
      for (Slot slot : slots) {
        abandon(slot);
      }
    }

    private void next() {
      while (!ended && !unbegun.isEmpty() && begun < shape.multiplex()) {
        begin(unbegun.remove());
      }
    }

    /** Sends the answers whose turn has come; one that is not ready holds up those behind it. */
    private void flush() {
      while (!ended && !condition.stalled() && !slots.isEmpty() && slots.peek().reply != null) {
        Slot first = slots.remove();
        site.witness().replied(now(), first.command, first.reply);
        line.answer(first.reply);
      }
    }
  }

  /** A new connection of a router; the numbers are for the account. */
  public Session open(CacheServerConnection line, int router, long number) {
    Session session = new Session(line, router, number, sessions.size() >= shape.connections());
    sessions.add(session);
    if (!session.over && shape.connectWork() > 0) {
      enqueue(new Job(null, shape.connectWork()));
    }
    return session;
  }

  private void begin(Slot slot) {
    slot.begun = true;
    slot.session.begun++;
    held++;
    if (condition.draining()) {
      settle(slot, new CacheResponse.Busy("draining"));
    } else if (slot.session.over) {
      settle(slot, new CacheResponse.Busy("too many connections"));
    } else if (waiting.size() >= shape.room() && busy >= shape.workers()) {
      settle(slot, new CacheResponse.Busy("queue full"));
    } else if (random.nextDouble() < condition.resets()) {
      slot.session.line.reset();
    } else if (random.nextDouble() < condition.errors()) {
      settle(slot, new CacheResponse.Failed("failed"));
    } else {
      slot.job = new Job(slot, slot.work);
      enqueue(slot.job);
    }
  }

  private void enqueue(Job job) {
    waiting.add(job);
    work();
  }

  private void work() {
    while (!dead && !condition.stalled() && busy < shape.workers() && !waiting.isEmpty()) {
      Job next = waiting.remove();
      if (next.slot != null && next.came + next.slot.command.patience() < now()) {
        settle(next.slot, new CacheResponse.Busy("over"));
        continue;
      }
      busy++;
      long time = (long) (next.work * condition.slow() / (shape.speed() * warmth()));
      next.end = site.agenda().in(time, () -> thawed(() -> worked(next)));
    }
  }

  /** Runs it, or once the server is no longer stalled. */
  private void thawed(Runnable step) {
    if (condition.stalled()) {
      frozen.add(step);
    } else if (!dead) {
      step.run();
    }
  }

  private void worked(Job job) {
    job.end = null;
    busy--;
    if (job.slot != null) {
      if (job.slot.command.write()) {
        write(job.slot);
      } else {
        read(job.slot);
      }
    }
    work();
  }

  private void read(Slot slot) {
    CacheCommand c = slot.command;
    ObjectCache.Item found = store.get(c.key(), now());
    if (found != null) {
      served(slot, found.version(), CacheResponse.How.HIT, found.size());
      return;
    }
    boolean pending = fetches.containsKey(c.key());
    CacheResponse.How how = pending ? CacheResponse.How.PENDING : CacheResponse.How.MISS;
    LongConsumer done = version -> thawed(() -> fetched(slot, version, how));
    List<LongConsumer> sharing = fetches.computeIfAbsent(c.key(), k -> new ArrayList<>());
    sharing.add(done);
    if (!pending) {
      site.origin().fetch(listing.host(), cold(), c.key(), version -> arrived(c, sharing, version));
    } else if (!shape.shareFetch()) {
      sharing.remove(done);
      site.origin().fetch(listing.host(), cold(), c.key(), done);
    }
  }

  private void arrived(CacheCommand c, List<LongConsumer> sharing, long version) {
    fetches.remove(c.key());
    if (!dead && version != OriginModel.NO_ANSWER) {
      store.put(c.key(), version, size(c), now());
    }
    sharing.forEach(one -> one.accept(version));
  }

  private void fetched(Slot slot, long version, CacheResponse.How how) {
    if (version == OriginModel.NO_ANSWER) {
      settle(slot, new CacheResponse.Failed("origin"));
    } else {
      served(slot, version, how, size(slot.command));
    }
  }

  private void write(Slot slot) {
    CacheCommand c = slot.command;
    WorkCost type = WorkCost.of(site.works(), c.type());
    boolean keyed = type.keyed() && c.once() != null;
    if (keyed && !site.repeats().first(group(type.scope()), c.once(), type.window(), now())) {
      site.witness().executed(now(), c, true);
      receipt(slot, site.origin().version(c.key()));
      return;
    }
    String effect = keyed ? c.once() : c.id();
    site.origin()
        .write(
            listing.host(),
            cold(),
            c.key(),
            effect,
            version -> {
              if (version == OriginModel.NO_ANSWER) {
                if (keyed) {
                  site.repeats().forget(group(type.scope()), c.once());
                }
                thawed(() -> settle(slot, new CacheResponse.Failed("origin")));
                return;
              }
              site.witness().executed(now(), c, false);
              site.voided().accept(c.key());
              thawed(() -> receipt(slot, version));
            });
  }

  private String group(String scope) {
    return switch (scope) {
      case "zone" -> "zone " + listing.site();
      case "cell" -> "cell " + listing.site() + " " + listing.block();
      default -> "all";
    };
  }

  private void served(Slot slot, long version, CacheResponse.How how, int size) {
    site.witness().executed(now(), slot.command, false);
    value(slot, version, how, size);
  }

  private void receipt(Slot slot, long version) {
    value(slot, version, CacheResponse.How.WRITTEN, 0);
  }

  /** Made for this request alone, so that an account can tell whose answer it is. */
  private void value(Slot slot, long version, CacheResponse.How how, int size) {
    CacheCommand c = slot.command;
    byte[] made =
        (c.key()
                + " v"
                + version
                + " for "
                + c.id()
                + " by "
                + listing.host()
                + " #"
                + c.number()
                + " ")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] bytes = Arrays.copyOf(made, Math.max(size, made.length));
    Arrays.fill(bytes, made.length, bytes.length, (byte) '.');
    CacheResponse.Value value = new CacheResponse.Value(bytes, how, report());
    boolean spoil = random.nextDouble() < condition.spoils();
    settle(
        slot, spoil ? new CacheResponse.Spoilt(value, WAYS[random.nextInt(WAYS.length)]) : value);
  }

  private String report() {
    if (shape.reports().isEmpty()) {
      return null;
    }
    List<String> pairs = new ArrayList<>();
    for (String name : shape.reports()) {
      double figure =
          switch (name) {
            case "inflight" -> held;
            case "latency_ms" -> latency / 1e6;
            default -> busy;
          };
      pairs.add(name + "=" + Math.round(figure * 100) / 100.0);
    }
    return String.join(",", pairs);
  }

  private void settle(Slot slot, CacheResponse reply) {
    if (slot.reply != null || slot.session.ended) {
      return;
    }
    slot.reply = reply;
    held--;
    slot.session.begun--;
    if (slot.job != null) {
      latency += 0.05 * (now() - slot.job.came - latency);
    }
    slot.session.flush();
    slot.session.next();
  }

  /**
   * Its connection is gone: what waits is dropped, what runs is stopped where the shape says so.
   */
  private void abandon(Slot slot) {
    Job job = slot.job;
    held -= slot.begun && slot.reply == null ? 1 : 0;
    if (job == null || slot.reply != null || waiting.remove(job)) {
      return;
    }
    if (job.end != null && shape.cancel() && !condition.stalled()) {
      job.end.cancel();
      job.end = null;
      busy--;
      work();
    }
  }

  /** Counts work that was sent, done or not, against what the server can do at this moment. */
  private void pushed(long work) {
    long sent = load.add(now(), work);
    if (!dead
        && cold()
        && sent
            > shape.fallMultiple()
                * warmth()
                * shape.workers()
                * shape.speed()
                * shape.fallAfter()) {
      site.witness().collapsed(now(), listing.host());
      die();
    }
  }

  /** Ends the process: connections are reset, nothing it had goes on but what the origin has. */
  void die() {
    dead = true;
    List.copyOf(sessions).forEach(session -> session.line.reset());
    waiting.clear();
    frozen.clear();
    store.clear();
  }

  /** Changes its condition and acts on it. */
  void set(Fault.Kind kind, double amount) {
    condition.set(kind, amount);
    changed();
    if (kind == Fault.Kind.RESET && amount > 0) {
      List.copyOf(sessions).forEach(session -> session.line.reset());
    }
  }

  /** Ends all that is wrong with it, but a death. */
  void heal() {
    condition.clear();
    changed();
  }

  private void changed() {
    if (!condition.stalled() && !dead) {
      List<Runnable> due = List.copyOf(frozen);
      frozen.clear();
      due.forEach(Runnable::run);
      List.copyOf(sessions).forEach(Session::flush);
      work();
    }
  }

  /** Another server has passed on a write of the key: the copy here is no longer good. */
  void drop(String key) {
    store.drop(key);
  }

  /** Whether it has not yet warmed up. */
  public boolean cold() {
    return warmth() < 1;
  }

  private double warmth() {
    return shape.warmth(listing.born(), now());
  }

  private int size(CacheCommand c) {
    return WorkCost.of(site.works(), c.type()).size();
  }

  private long now() {
    return site.agenda().now();
  }

  /** How it is listed. */
  public EndpointListing listing() {
    return listing;
  }

  /** What is wrong with it. */
  public FaultState condition() {
    return condition;
  }

  /** Whether the process has ended, killed or collapsed. */
  public boolean dead() {
    return dead;
  }

  /** Open connections. */
  public int connections() {
    return sessions.size();
  }

  /** Commands that it has begun and not answered. */
  public int held() {
    return held;
  }

  /** Objects that it holds. */
  public int objects() {
    return store.count();
  }

  /** Bytes of them, with a small part for each beside its value. */
  public long bytes() {
    return store.bytes();
  }
}
