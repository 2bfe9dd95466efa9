package beaconturn.decision;

import java.util.Collection;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/** What a router knows of one cache or origin. */
final class ServerState {
  final long id;
  final TokenBucket cold;
  int zone;
  int cell;
  int kind;
  EndpointHealth health = EndpointHealth.GONE;
  double rating;
  private long listedBoot;

  /**
   * When it last started, as late as that can have been by the router's own clock; 0 for long ago.
   */
  private long startedAt;

  private long returnedAt;
  private long outAt;

  /** Left out by an operator. */
  boolean out;

  int inFlight;
  double smoothLoad;
  long settledAt;

  /** How many attempts the server has said something on. */
  long heard;

  /** Whether the last attempt ended without a word of it. */
  private boolean silent;

  /** Called gone by a list alone, which there is no proof. */
  private boolean doubted;

  double reported;
  long reportedAt;

  /** Until when a connection to it should be open, as long as nothing else closes it. */
  long openUntil;

  long dialFailedAt;
  double sick;
  long judgedAt;
  boolean ejected;
  double trialGap;
  long trialAt;
  long walk;

  ServerState(long id) {
    this(id, new TokenBucket());
  }

  private ServerState(long id, TokenBucket cold) {
    this.id = id;
    this.cold = cold;
  }

  /**
   * The same server for a router with other settings; the cold budget is one for both while both
   * send.
   */
  ServerState successor(boolean sameReports, boolean useRating) {
    ServerState next = new ServerState(id, cold);
    next.zone = zone;
    next.cell = cell;
    next.kind = kind;
    next.health = health;
    next.silent = silent;
    next.doubted = doubted;
    next.rating = useRating ? rating : 1;
    next.listedBoot = listedBoot;
    next.startedAt = startedAt;
    next.returnedAt = returnedAt;
    next.outAt = outAt;
    next.out = out;
    next.openUntil = openUntil;
    next.dialFailedAt = dialFailedAt;
    next.reported = sameReports ? reported : 0;
    next.reportedAt = sameReports ? reportedAt : 0;
    next.sick = sick;
    next.judgedAt = judgedAt;
    next.ejected = ejected;
    next.trialGap = trialGap;
    next.trialAt = trialAt;
    return next;
  }

  /** Counts requests in flight up or down; the smoothed load is brought up to now first. */
  void load(int change, long now, double memory) {
    settle(now, memory);
    inFlight += change;
  }

  /** Brings the smoothed load up to now and returns it. */
  double settle(long now, double memory) {
    double passed = now - settledAt;
    smoothLoad += (inFlight - smoothLoad) * passed / (passed + memory);
    settledAt = now;
    return smoothLoad;
  }

  /** Whether a connection to it was asked for in vain within the given time. */
  boolean dialFails(long now, long memory) {
    return dialFailedAt != 0 && now - dialFailedAt < memory;
  }

  /**
   * A list leaves it out, or calls it gone. Where that alone does not bind, lists are wrong at
   * times: it then stays what it was until it is silent too.
   */
  void unlisted(boolean soft) {
    doubted = soft && health == EndpointHealth.READY && !silent;
    health = doubted ? health : EndpointHealth.GONE;
  }

  /**
   * An attempt has ended; true if nothing more is to be sent to it, or remembered of it, for that.
   */
  boolean closed(AttemptOutcome ending) {
    heard += ending.serverResponded() ? 1 : 0;
    silent = ending.endedLocally() ? silent : !ending.serverResponded();
    health = doubted && silent ? EndpointHealth.GONE : health;
    return (doubted && silent) || forgotten();
  }

  /**
   * Takes over what a list tells of it; a start that is new here counts as one at {@code
   * learnedAt}.
   */
  void update(Endpoint e, boolean useRating, boolean soft, long learnedAt) {
    if (e.bootTimeNanos() != listedBoot) {
      restarted();
      startedAt = e.bootTimeNanos() == 0 ? 0 : learnedAt;
    }
    zone = e.zone();
    cell = e.cell();
    kind = e.kind();
    if (e.health() == EndpointHealth.GONE) {
      unlisted(soft);
    } else {
      health = e.health();
      doubted = false;
    }
    rating = useRating && e.rating() > 0 ? e.rating() : 1;
    listedBoot = e.bootTimeNanos();
  }

  /**
   * Left out, or used again: it then counts as started when the list says that it did while it was
   * out, else at that time, also if the list does not know it yet.
   */
  void byHand(boolean leftOut, long at) {
    if (!leftOut && (out || !listed())) {
      restarted();
      returnedAt = startedAt > outAt ? 0 : at;
    }
    outAt = leftOut && !out ? at : outAt;
    out = leftOut;
  }

  /** Since when it warms up, by the list or by an operator who brought it back; 0 for long ago. */
  long warmsSince() {
    return Math.max(returnedAt, startedAt);
  }

  /** Whether the two discard repeats of each other's keyed requests, where that is the scope. */
  boolean sameGroup(DeduplicationScope scope, ServerState other) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> zone == other.zone;
      case CELL -> cell == other.cell;
    };
  }

  /** Whether new requests may go to it. */
  boolean usable() {
    return health == EndpointHealth.READY && !out;
  }

  /** How many of them get more than trials. */
  static int over(Collection<ServerState> all, ZoneWeights shares) {
    return shares.zones().isEmpty()
        ? all.size()
        : (int) Math.max(1, all.stream().filter(s -> shares.uses(s.zone)).count());
  }

  /** 1 if it is in the zone and the other is not, -1 the other way round, else 0. */
  int nearer(ServerState other, int place) {
    return (zone == place ? 1 : 0) - (other.zone == place ? 1 : 0);
  }

  static ServerState lessLoaded(ServerState a, ServerState b) {
    return a == null || b.inFlight < a.inFlight ? b : a;
  }

  /** What is made of these, by id; {@code cold} tells which still warm up. */
  static RoutingView view(Collection<ServerState> all, Predicate<ServerState> cold) {
    SortedMap<Long, ServerStatus> by = new TreeMap<>();
    all.forEach(
        s ->
            by.put(
                s.id,
                !s.listed()
                    ? ServerStatus.GONE
                    : s.out
                        ? ServerStatus.EXCLUDED
                        : !s.usable()
                            ? ServerStatus.DRAINING
                            : s.ejected
                                ? ServerStatus.EJECTED
                                : cold.test(s) ? ServerStatus.WARMING : ServerStatus.ACTIVE));
    return new RoutingView(by);
  }

  boolean listed() {
    return health != EndpointHealth.GONE;
  }

  /**
   * Whether nothing is to be remembered of it: what is out by hand stays so when it is listed
   * again.
   */
  boolean forgotten() {
    return !listed() && inFlight == 0 && !out && returnedAt == 0;
  }

  /** Nothing that was learned of it holds any more. */
  private void restarted() {
    sick = 0;
    ejected = false;
    dialFailedAt = 0;
    cold.reset();
  }
}
