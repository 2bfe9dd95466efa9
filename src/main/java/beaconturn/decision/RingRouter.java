package beaconturn.decision;

// The interface this module implements - settings, events, actions - is Routing.java beside this
// file.

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Every decision of one router. Single-threaded; knows only its settings and its own events. */
public final class RingRouter implements RoutingPolicy {
  /**
   * Bounded loads: a cache may hold this much more than the mean. The source gives 0.15 to 0.25.
   */
  private static final double EPSILON = 0.2;

  /**
   * Where a cache fetches what it lacks a spill holds its place for a fetch, and more spill behind
   * it.
   */
  private static final double EPSILON_THROUGH = 0.9;

  /** The cap never falls below this, so that few requests in flight do not scatter the keys. */
  private static final int LEAST_CAP = 2;

  /** Virtual points of a cache of mean rating. The source advises 100 to 200. */
  private static final int POINTS = 150;

  /** Weight of the newest sample: about ten samples make an average. */
  private static final double NEWEST = 0.1;

  /**
   * An answer is late past the mean plus this many mean deviations: 1 in 60 on an exponential tail.
   */
  private static final double LATE_DEVIATIONS = 4;

  /** Loads are smoothed over this many mean answer times. */
  private static final double SMOOTHING = 8;

  /** A cache that reports this many times the mean in hand, and one, is passed. */
  private static final double REPORTED = 1.2;

  /**
   * A report counts for this many smoothing times: many routers hear of one cache but now and then.
   */
  private static final double REPORT_MEMORY = 16;

  /** A key's even part of a cache that it may fill, as homes of hot keys hold others too. */
  private static final double HOT_FILLS = 0.5;

  /**
   * The same where the origin is asked beside the caches, so that a spread key costs few fetches.
   */
  private static final double HOT_FILLS_ASIDE = 0.17;

  /** Requests of late that tell a key's part of them: this many for each cache. */
  private static final double RECENT = 1;

  /** Sick: this share of bad samples above the fleet's own; three in a row reach it. */
  private static final double SICK = 0.25;

  /**
   * Share of the ring that may be passed over as sick; beyond it the fleet is at fault, not caches.
   */
  private static final double MOST_EJECTED = 1.0 / 3;

  /**
   * A sick cache gets a first trial after this many mean answer times, then twice as long each
   * time.
   */
  private static final double TRIAL_AFTER = 8;

  private static final double LONGEST_TRIAL = 64;

  /**
   * Further attempts earned by each arrival, for each that is allowed: a small part of the load.
   */
  private static final double RETRY_RATIO = 0.05;

  /**
   * Part of the fall multiple that is spent on a cold cache; the rest is for chance and heavy
   * requests.
   */
  private static final double COLD_SAFETY = 0.8;

  /** Crowded: answers take this part of their aim; beyond it the rest of the way leaves no time. */
  private static final double CROWDED = 0.5;

  /**
   * The same of fetches through a cache: its own work is in them, and they take half the aim at
   * rest.
   */
  private static final double CROWDED_THROUGH = 0.8;

  /** No room to spare for what exceeds a quota: answers take this part of their aim. */
  private static final double BUSY = 0.3;

  /** A crowded gate shrinks to this part of what is in flight, at most once an answer time. */
  private static final double SHRINK = 0.85;

  /** Occupancy of the gate up to which worthless requests pass; full worth passes up to 1. */
  private static final double OPEN_TO_ALL = 0.6;

  /**
   * A tenant's part of the traffic may exceed its share by this before it counts as beyond its
   * quota.
   */
  private static final double SHARE_SLACK = 1.5;

  /**
   * The longest pause before a list is asked for again, in nanoseconds. What discovery has counts
   * as told 6 s after it can be reached: time for a call that hangs, this pause, and a call that
   * waits for its turn, twice over.
   */
  private static final long LONGEST_LIST_PAUSE = 1_200_000_000;

  /** Wall clocks are corrected by no more than this, in nanoseconds. */
  private static final long LARGEST_CLOCK_STEP = 3_600_000_000_000L;

  /** A router may stand still for so long between reading its clock and writing, in nanoseconds. */
  private static final long LONGEST_HOLD_UP = 150_000_000;

  /** The pace of a kind is told in this many steps to a doubling. */
  private static final int PACE_STEPS = 2;

  private static final int LATE = 0;
  private static final int PATIENCE = 1;
  private static final int WATCH = 2;

  private final RoutingSettings settings;
  private final SafetyLimits rules;
  private final RoutingPermissions may;
  private final RoutingActions out;
  private final SplittableRandom random;
  private final double highestWorth;
  private final boolean aside;
  private final double epsilon;

  /** In the order in which they became known. */
  private final Map<Long, ServerState> servers = new LinkedHashMap<>();

  private final Map<Long, RequestState> requests = new LinkedHashMap<>();
  private final Map<Long, OriginFetch> flights = new LinkedHashMap<>();
  private final List<ServerState> ring = new ArrayList<>();
  private final List<ServerState> origins = new ArrayList<>();
  private final List<RequestState> fetchQueue = new ArrayList<>();
  private final MovingAverage[] answerTimes;
  private final MovingAverage answerTime = new MovingAverage(NEWEST);
  private final MovingAverage work = new MovingAverage(NEWEST / 4);
  private final MovingAverage fetchTime = new MovingAverage(NEWEST);
  private final CachedKeyIndex held;
  private final KeyPopularity popularity = new KeyPopularity(LruMap.USUAL_CAPACITY);
  private final KeyFailures failures = new KeyFailures();

  /** Until when an answer to what was given up is in time, for the client's next try. */
  private final Map<Long, Long> givenUp = new LruMap<>(LruMap.USUAL_CAPACITY);

  private final Gate caches = new Gate(CROWDED);
  private final ServerLoad all = new ServerLoad();
  private final Gate origin;
  private final TokenBucket[] quotas;
  private final EventRate answers;
  private final EventRate arrivals;
  private final EventRate[] tenantArrivals;
  private final Map<Integer, LatencyRatio> paces = new LinkedHashMap<>();
  private final MovingAverage reportedLoad = new MovingAverage(NEWEST / 4);
  private final int loadField;
  private long[] points = new long[0];
  private ZoneWeights shares = ZoneWeights.ANYWHERE;
  private long now;
  private long walk;
  private long[] seenInWalk = new long[0];
  private double retryBudget;
  private double fleetSick;

  /** Part of the connections newly asked for, of late, that were not had. */
  private double dialsFailing;

  private long judgedAt;
  private long watchBackoff;

  /** Whether discovery itself has told a list, beside the one that the router was started with. */
  private boolean listHeard;

  /**
   * A router in another's place: what is told of servers by their ids stays, all else starts
   * afresh.
   */
  public RingRouter(
      RoutingSettings settings, long seed, long now, RoutingActions out, RingRouter before) {
    this(settings, seed, now, out, !before.settings.pollsDiscovery());
    boolean sameReports = settings.loadReportFields().equals(before.settings.loadReportFields());
    before.servers.forEach(
        (id, s) -> servers.put(id, s.successor(sameReports, settings.stableRatings())));
    shares = before.shares;
    listHeard = before.listHeard;
    place();
    begin(before.warmStartState());
  }

  /** A router that starts empty; its first list follows. */
  public RingRouter(RoutingSettings settings, long seed, long now, RoutingActions out) {
    this(settings, seed, now, out, true);
  }

  private RingRouter(
      RoutingSettings settings, long seed, long now, RoutingActions out, boolean watch) {
    this.settings = settings;
    this.rules = settings.safetyLimits();
    this.loadField = settings.loadReportFields().indexOf("busy_reqs");
    this.may = settings.permissions();
    this.aside = settings.origin().aside();
    this.epsilon = aside ? EPSILON : EPSILON_THROUGH;
    this.origin = new Gate(aside ? CROWDED : CROWDED_THROUGH);
    this.out = out;
    this.now = now;
    this.random = new SplittableRandom(seed);
    double rateMemory = rules.warmUpNanos() / 4.0;
    this.answers = new EventRate(rateMemory);
    this.arrivals = new EventRate(rateMemory);
    this.tenantArrivals = new EventRate[settings.tenants().size()];
    Arrays.setAll(tenantArrivals, i -> new EventRate(rateMemory));
    this.highestWorth =
        settings.classes().stream().mapToDouble(RequestClass::priorityWeight).max().orElse(1);
    this.answerTimes = new MovingAverage[settings.classes().size()];
    Arrays.setAll(answerTimes, i -> new MovingAverage(NEWEST));
    this.quotas = new TokenBucket[settings.tenants().size()];
    Arrays.setAll(quotas, i -> new TokenBucket());
    this.watchBackoff = firstListPause();
    this.held = new CachedKeyIndex(settings.longestDeadlineNanos());
    if (settings.pollsDiscovery() && watch) {
      out.watch(true);
    }
  }

  // ---- events

  @Override
  public void handle(long clock, RoutingEvent event) {
    now = clock;
    if (event instanceof RoutingEvent.RequestArrived arrival) {
      arrived(arrival);
    } else if (event instanceof RoutingEvent.AttemptClosed closed) {
      attemptClosed(closed);
    } else if (event instanceof RoutingEvent.TimerFired timer) {
      timer(timer.token());
    } else if (event instanceof RoutingEvent.RequestCancelled left
        && requests.containsKey(left.requestId())) {
      conclude(requests.get(left.requestId()), false);
    } else if (event instanceof RoutingEvent.ResponseStarted first
        && requests.containsKey(first.requestId())) {
      begun(requests.get(first.requestId()), first.attempt());
    } else if (event instanceof RoutingEvent.EndpointsUpdated list) {
      serverList(list);
    } else if (event instanceof RoutingEvent.OperatorOverrideChanged call) {
      servers
          .computeIfAbsent(call.serverId(), ServerState::new)
          .operatorOverride(call.excluded(), call.atNanos());
      place();
    } else if (event instanceof RoutingEvent.ZoneWeightsChanged told) {
      shares = told.weights();
    } else if (event instanceof RoutingEvent.WarmStarted begun) {
      begin(begun.state());
    }
  }

  private void begin(WarmStartState l) {
    answers.begin(l.answers(), l.peak(), now);
    answerTime.begin(l.answerTime());
    fetchTime.begin(l.fetchTime());
    caches.limit = Math.min(caches.limit, l.limit());
    origin.limit = Math.min(origin.limit, l.originLimit());
  }

  @Override
  public WarmStartState warmStartState() {
    return new WarmStartState(
        answers.perNano(now),
        answers.peakPerNano(now),
        answerTime.mean(),
        fetchTime.mean(),
        caches.limit,
        origin.limit);
  }

  private void arrived(RoutingEvent.RequestArrived e) {
    RequestClass type = settings.classes().get(e.requestClass());
    boolean lateEarnsNothing =
        type.latePriorityWeight() <= 0 && type.idempotency() == Idempotency.IDEMPOTENT;
    // A cache that goes on with what earns nothing is late for the next; not so where caches fetch.
    boolean cutAtAim = aside && lateEarnsNothing;
    // What a client's next try has in common with its last: it comes back to the router that gave
    // it up.
    long ask = KeyHash.mix(e.key() ^ KeyHash.mix(e.tenant() * 64L + e.requestClass()));
    Long before = e.clientRetry() ? givenUp.remove(ask) : null;
    long aimEnds =
        before == null
            ? now + type.latencyObjectiveNanos()
            : Math.min(before, now + type.latencyObjectiveNanos());
    long deadline = now + e.remainingNanos();
    long due = cutAtAim ? Math.min(deadline, aimEnds) : deadline;
    boolean overQuota = overQuota(e.tenant());
    double workRatio = e.workHintNanos() > 0 ? e.workHintNanos() / work.add(e.workHintNanos()) : 1;
    double keyShare =
        e.key() == 0 || e.write()
            ? 0
            : popularity.count(e.key(), RECENT * Math.max(1, ring.size()));
    RequestState r =
        new RequestState(
            e, type, new RequestTimes(deadline, aimEnds, due), ask, overQuota, keyShare, workRatio);
    requests.put(r.id(), r);
    retryBudget =
        Math.min(Math.max(1, ring.size()), retryBudget + RETRY_RATIO * (may.maxAttempts() - 1));
    boolean toOrigin = aside && r.isWrite();
    boolean hopeless = failures.isDrawnHopeless(r.key(), random);
    if (hopeless) {
      giveUp(r, GiveUpReason.FAILING_KEY);
    } else if (lateEarnsNothing && aimEnds <= now) {
      giveUp(r, GiveUpReason.TOO_LATE);
    } else if (!admitted(r, toOrigin ? origin : caches)) {
      giveUp(r, GiveUpReason.OVERLOADED);
    } else if (toOrigin) {
      askOrigin(r, null);
    } else if (aside && r.key() != 0 && flights.containsKey(r.key())) {
      await(r, flights.get(r.key()));
    } else {
      askCache(r);
    }
  }

  private void attemptClosed(RoutingEvent.AttemptClosed e) {
    RequestState r = requests.get(e.requestId());
    if (r == null
        || e.attempt() >= r.attempts().size()
        || !r.attempts().get(e.attempt()).isOpen()) {
      return;
    }
    AttemptState a = r.attempts().get(e.attempt());
    a.close(e.outcome());
    release(a);
    a.server().load().change(-1, now, smoothing());
    if (a.server().attemptEnded(e.outcome())) {
      place();
    }
    if (a.toCache()) {
      cacheClosed(r, a, e);
    }
    if (a.fetchesFromOrigin()) {
      fetchClosed(r, a, e);
    }
    if (r.isMoving() && e.outcome() == AttemptOutcome.CANCELLED && !r.isDone()) {
      r.moving(false);
      retry(r, a);
    } else if (e.requestClosed() && !r.isDone()) {
      r.missedAt(a.toCache() && !aside ? a.server() : r.missedAt());
      conclude(r, e.outcome() == AttemptOutcome.OK);
    } else if (!r.isDone()) {
      proceed(r, a, e.outcome());
    } else if (!r.hasOpenAttempt()) {
      requests.remove(r.id());
    }
    releaseFetches();
  }

  /**
   * What is left of the answer goes at the client's pace; a cache that fetches has the object by
   * now.
   */
  private void begun(RequestState r, int attempt) {
    r.beginStreaming();
    cancelOpen(r, attempt);
    if (!aside) {
      r.missedAt(r.attempts().get(attempt).server());
      release(r.attempts().get(attempt));
      land(r, true);
      releaseFetches();
    }
  }

  /**
   * Gates count what caches and the origin are at work on, not what only clients take their time
   * for.
   */
  private void release(AttemptState a) {
    caches.inFlight -= a.isBeingServed() && a.toCache() ? 1 : 0;
    origin.inFlight -= a.isBeingServed() && a.fetchesFromOrigin() ? 1 : 0;
    a.served();
  }

  /** Decides what follows an attempt that did not end its request. */
  private void proceed(RequestState r, AttemptState a, AttemptOutcome ending) {
    if (now >= r.dueNanos()) {
      // An ending handled a tick late may come when no time is left: holding it would lose the
      // request.
      giveUp(r, GiveUpReason.TOO_LATE);
    } else if (ending == AttemptOutcome.MISS && a.toCache()) {
      r.missedAt(r.missedAt() == null ? a.server() : r.missedAt());
      if (!r.hasOpenAttempt()) {
        fetch(r, null);
      }
    } else if (!r.hasOpenAttempt() && !r.isQueued()) {
      retry(r, a);
    }
  }

  private void timer(long token) {
    int kind = (int) (token & 3);
    RequestState r = requests.get(token >>> 8);
    if (kind == WATCH) {
      out.watch(true);
    } else if (r != null
        && !r.isDone()
        && kind == LATE
        && (token >>> 2 & 63) < r.attempts().size()) {
      late(r, r.attempts().get((int) (token >>> 2 & 63)));
    } else if (r != null
        && !r.isDone()
        && kind == PATIENCE
        && r.isQueued()
        && !r.hasOpenAttempt()) {
      giveUp(r, GiveUpReason.QUEUE_TIMEOUT);
    }
  }

  @Override
  public RoutingView view() {
    SortedMap<Long, ServerStatus> statuses = new TreeMap<>();
    servers.forEach((id, s) -> statuses.put(id, s.status(warmth(s) < 1)));
    return new RoutingView(statuses);
  }

  // ---- ordinary path: ring, bounded loads, clockwise walk

  @SuppressWarnings("ReferenceEquality") // One constant stands for no weights.
  private ServerState pick(RequestState r) {
    return shares == ZoneWeights.ANYWHERE
        ? pick(r, -1)
        : shares.first(r.hash(), r.isFitForTrial(), place -> pick(r, place));
  }

  /**
   * The home cache of the key, or the next one clockwise that is under its cap; all full: least
   * loaded.
   */
  private ServerState pick(RequestState r, int place) {
    if (points.length == 0) {
      buildRing();
    }
    int cap = cap(all.inFlight(), shares.serversInUse(ring), epsilon);
    int found = Arrays.binarySearch(points, r.hash() & -0x10000L);
    int start = found >= 0 ? found : -found - 1;
    ServerState leastLoaded = null;
    ServerState lastResort = null;
    int most = spread(r);
    int alike = 0;
    ServerState chosen = null;
    boolean mayDial = mayDial(r);
    walk++;
    for (int i = 0, seen = 0; seen < ring.size() && most > 0; i++) {
      int index = (int) points[(start + i) % points.length] & 0xffff;
      if (seenInWalk[index] == walk) {
        continue;
      }
      ServerState s = ring.get(index);
      seenInWalk[index] = walk;
      seen++;
      if ((place >= 0 && s.zone() != place)
          || !legal(r, s)
          || r.wasSentTo(s)
          || !coldBudgetLeft(s)) {
        continue;
      }
      if (passedOver(s, r)
          || (!mayDial
              && !s.connection().isOpen(now)
              && s.connection().failedWithin(may.connectionIdleNanos(), now))) {
        lastResort = ServerState.lessLoaded(lastResort, s);
      } else if (s.load().inFlight() < cap && !crowded(s)) {
        int nearer = chosen == null ? 1 : nearer(s, chosen);
        alike = nearer > 0 ? 1 : alike + nearer + 1;
        chosen = nearer > 0 || (nearer == 0 && random.nextInt(alike) == 0) ? s : chosen;
        most--;
      } else {
        leastLoaded = ServerState.lessLoaded(leastLoaded, s);
      }
    }
    return chosen != null ? chosen : leastLoaded != null ? leastLoaded : lastResort;
  }

  /**
   * The floor of two lets many routers pile up twice their number on one home. So a cache whose
   * smoothed load (as the source advises) exceeds the bound on an even part of it gets one at a
   * time; where a spill is a fetch, on the mean if that is more. One that said lately that it holds
   * far more gets none.
   */
  private boolean crowded(ServerState s) {
    // A spill is a fetch: reports pass nobody where the origin has no room for it.
    boolean full =
        origin.slowness.value() < BUSY
            && s.loadReport().busyRequests() > REPORTED * (reportedLoad.mean() + 1)
            && s.loadReport().ageNanos(now) < REPORT_MEMORY * smoothing();
    double even = (double) LEAST_CAP / settings.routerCount();
    double mean = aside ? 0 : all.smoothed(now, smoothing()) / shares.serversInUse(ring);
    return full
        || (s.load().inFlight() > 0
            && s.load().smoothed(now, smoothing()) > (1 + epsilon) * Math.max(even, mean));
  }

  /**
   * Over how many caches clockwise a key is spread, so that it fills a part of each, as homes of
   * hot keys hold others too: with few in flight none is at its cap, and many routers bury it. Half
   * of them at most.
   */
  private int spread(RequestState r) {
    int most = Math.min(ring.size(), settings.routerCount() / LEAST_CAP);
    double fills = aside ? HOT_FILLS_ASIDE : HOT_FILLS;
    return Math.max(1, Math.min(most, (int) Math.ceil(r.keyShare() / fills * ring.size())));
  }

  /**
   * Whether to try a cache that lately gave no connection; a further attempt has no time for that.
   */
  private boolean mayDial(RequestState r) {
    return r.attempts().isEmpty()
        ? dialsFailing == 0 || random.nextDouble() >= dialsFailing * dialsFailing
        : dialsFailing < NEWEST;
  }

  /** 1 if only the first is in the router's own zone, -1 if only the other is, else 0. */
  private int nearer(ServerState s, ServerState other) {
    int place = aside ? settings.zone() : -1;
    return (s.zone() == place ? 1 : 0) - (other.zone() == place ? 1 : 0);
  }

  private double smoothing() {
    return SMOOTHING * (answerTime.mean() + 1);
  }

  /**
   * The most a cache may hold when one more request joins {@code total} in flight on {@code n}
   * caches.
   */
  static int cap(int total, int n, double epsilon) {
    return Math.max(LEAST_CAP, (int) Math.ceil((1 + epsilon) * (total + 1) / Math.max(1, n)));
  }

  /**
   * Points come from the server's id alone, so that all routers agree and a change moves few keys.
   */
  private void buildRing() {
    // The power of two nearest the mean rating: a change of members seldom moves it.
    double mean = ring.stream().mapToDouble(ServerState::rating).average().orElse(1);
    double unit = Math.pow(2, Math.rint(Math.log(mean) / Math.log(2)));
    long[] all = new long[4 * POINTS * ring.size()];
    int at = 0;
    for (int i = 0; i < ring.size(); i++) {
      double pace = Math.pow(2, (double) paceStep(ring.get(i).kind()) / PACE_STEPS);
      double size = ring.get(i).rating() / unit / pace;
      long count = Math.round(POINTS * Math.max(0.25, Math.min(4, size)));
      for (int k = 0; k < count; k++) {
        all[at++] = (KeyHash.mix(ring.get(i).id() * 4099 + k) & -0x10000L) | i;
      }
    }
    points = Arrays.copyOf(all, at);
    Arrays.sort(points);
    seenInWalk = new long[ring.size()];
  }

  /**
   * How long caches of a kind take, as a part of what all take: ratings may tell their cores and
   * not their speed. In steps, so that routers which learn apart place nearly all points alike.
   */
  private int paceStep(int kind) {
    double taken = paces.size() < 2 || !paces.containsKey(kind) ? 1 : paces.get(kind).value();
    return (int) Math.rint(PACE_STEPS * Math.log(taken) / Math.log(2));
  }

  /** Learns how long the kind takes; the ring is built anew when that is a step more or less. */
  private void paced(int kind, double ofUsual) {
    int before = paceStep(kind);
    paces.computeIfAbsent(kind, k -> new LatencyRatio(NEWEST / 2)).add(ofUsual);
    if (paceStep(kind) != before) {
      points = new long[0];
    }
  }

  // ---- health: a sick cache is passed over but for a trickle

  private boolean passedOver(ServerState s, RequestState r) {
    return s.outlier().ejected
        && (now < s.outlier().trialAtNanos
            || s.load().inFlight() > 0
            || r.type().idempotency() != Idempotency.IDEMPOTENT);
  }

  /**
   * One sample of a cache's health; quick errors must not attract keys by keeping counts low. Where
   * samples are rare ten would come too late: what is older than the longest trial gap counts for
   * less.
   */
  private void judge(ServerState s, boolean bad) {
    s.outlier().badShare +=
        weight(NEWEST, s.outlier().sampledAtNanos) * ((bad ? 1 : 0) - s.outlier().badShare);
    fleetSick += weight(NEWEST / Math.max(1, ring.size()), judgedAt) * ((bad ? 1 : 0) - fleetSick);
    s.outlier().sampledAtNanos = now;
    judgedAt = now;
    if (s.outlier().ejected && bad) {
      s.outlier().trialGapAnswerTimes =
          Math.min(2 * s.outlier().trialGapAnswerTimes, LONGEST_TRIAL);
    } else if (s.outlier().ejected) {
      s.outlier().badShare /= 2;
      s.outlier().trialGapAnswerTimes = TRIAL_AFTER;
    }
    boolean sick = s.outlier().badShare > (s.outlier().ejected ? SICK / 2 : SICK + fleetSick);
    if (sick
        && !s.outlier().ejected
        && ring.stream().filter(c -> c.outlier().ejected).count() + 1
            > Math.max(1, ring.size() * MOST_EJECTED)) {
      return;
    }
    s.outlier().trialGapAnswerTimes =
        sick == s.outlier().ejected ? s.outlier().trialGapAnswerTimes : TRIAL_AFTER;
    s.outlier().ejected = sick;
    s.outlier().trialAtNanos = now + (long) (s.outlier().trialGapAnswerTimes * answerTime.mean());
  }

  private double weight(double least, long before) {
    double gap = before == 0 || !answerTime.hasSamples() ? 0 : now - before;
    return Math.max(least, gap / (gap + LONGEST_TRIAL * (answerTime.mean() + 1)));
  }

  // ---- cold starts: a freshly started cache gets no more than its guaranteed share

  /** Part of its capacity that a cache has for certain: an even rise from the cold share. */
  private double warmth(ServerState s) {
    double age =
        s.warmsUpSinceNanos() == 0
            ? 1
            : Math.max(0, now - s.warmsUpSinceNanos()) / (double) rules.warmUpNanos();
    return age >= 1 ? 1 : rules.coldCapacityShare() + (1 - rules.coldCapacityShare()) * age;
  }

  /**
   * What caches answered at the recent peak is what they can carry; each router holds a cold one to
   * its own mean of that, times warmth, times a part of the fall multiple, so that all together
   * keep the rule. Buckets start at a seeded phase: whole first tokens of hundreds of routers would
   * spend it at once.
   */
  private boolean coldBudgetLeft(ServerState s) {
    double warmth = warmth(s);
    if (warmth >= 1) {
      return true;
    }
    double peers = answers.cautiousPeakPerNano(now) / ring.size();
    double perNano = COLD_SAFETY * rules.overloadMultiple() * warmth * peers;
    s.slowStartBudget()
        .refill(now, perNano, Math.max(1, perNano * rules.overloadNanos() / 4), random);
    return s.slowStartBudget().hasToken();
  }

  // ---- attempts, retries and hedges

  /**
   * The one guard before every send: the request is alive, the server takes work, a repeat is
   * allowed.
   */
  private boolean legal(RequestState r, ServerState s) {
    return !r.isDone()
        && !r.isStreaming()
        && s.isUsable()
        && now < r.deadlineNanos()
        && r.attempts().size() < may.maxAttempts()
        && (may.hedging() || !r.hasOpenAttempt())
        && repeatAllowed(r, s);
  }

  private boolean repeatAllowed(RequestState r, ServerState s) {
    AttemptState first = r.firstWithPossibleEffect();
    if (first == null || r.type().idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    // A repeat is written once its connection is up, and its router may be held up just before.
    long writtenBy = now + may.connectTimeoutNanos() + LONGEST_HOLD_UP;
    if (r.type().idempotency() == Idempotency.NON_IDEMPOTENT
        || writtenBy - first.sentAtNanos() >= r.type().deduplicationWindowNanos()) {
      return false;
    }
    return r.attempts().stream()
        .allMatch(
            a ->
                a.isProvenWithoutEffect()
                    || a.server().deduplicatesWith(s, r.type().deduplicationScope()));
  }

  private void send(RequestState r, ServerState s, boolean fetches) {
    if (!legal(r, s)) {
      giveUp(r, GiveUpReason.NO_FURTHER_ATTEMPT);
      return;
    }
    AttemptState a = new AttemptState(s, now, !isOrigin(s), fetches);
    r.attempts().add(a);
    r.queued(false);
    s.load().change(1, now, smoothing());
    origin.inFlight += fetches ? 1 : 0;
    out.send(r.id(), s.id(), Math.max(now + 1, r.dueNanos()) - now);
    if (!a.toCache()) {
      return;
    }
    caches.inFlight++;
    all.change(1, now, smoothing());
    s.slowStartBudget().take();
    // Where a late attempt is given up for another, what it waited is lost: not before half of its
    // aim.
    long least = aside && !may.hedging() ? r.type().latencyObjectiveNanos() / 2 : 0;
    long lateAfter = Math.max(least, lateAfter(r, fetches));
    if (now + lateAfter < r.dueNanos()) {
      out.timer(lateAfter, r.id() << 8 | (r.attempts().size() - 1) << 2 | LATE);
    }
  }

  private void askCache(RequestState r) {
    ServerState s = pick(r);
    if (s == null) {
      giveUp(r, GiveUpReason.NO_SERVER);
    } else if (willFetch(r, s)) {
      fetch(r, s);
    } else {
      send(r, s, false);
    }
  }

  private void cacheClosed(RequestState r, AttemptState a, RoutingEvent.AttemptClosed e) {
    all.change(-1, now, smoothing());
    AttemptOutcome ending = e.outcome();
    boolean answered = ending == AttemptOutcome.OK || ending == AttemptOutcome.MISS;
    learnOfDials(a, ending);
    if (ending.endedLocally()) {
      return;
    }
    failures.attemptEnded(r.key(), a.server().id(), ending);
    if (answered) {
      answers.count(now);
    }
    boolean missed = e.cacheStatus() == CacheStatus.MISS && !aside;
    // The fetch was presumed; a hit says there was none. At many routers most hits are on keys new
    // here.
    boolean fetched = missed || (a.fetchesFromOrigin() && e.cacheStatus() != CacheStatus.HIT);
    boolean late = e.elapsedNanos() > lateAfter(r, fetched);
    if (loadField >= 0 && loadField < e.loadReport().length) {
      a.server().loadReport().report(e.loadReport()[loadField], now);
      reportedLoad.add(e.loadReport()[loadField]);
    }
    if (ending == AttemptOutcome.OK && !r.isWrite() && !aside) {
      held.answered(r.key(), a.server().id(), missed, now);
    }
    if (ending == AttemptOutcome.OK && !fetched) {
      MovingAverage usual = answerTimes[r.classIndex()];
      if (usual.hasSamples() && aside) {
        paced(a.server().kind(), e.elapsedNanos() / usual.mean());
      }
      usual.add(e.elapsedNanos());
      answerTime.add(e.elapsedNanos());
    }
    if (!failures.explains(r.key(), ending)
        && (!a.isCountedLate() || (answered && fetched && !late))) {
      judge(a.server(), !answered || late);
    }
    // Where no second copy may race it, what is lost on its way ends as a time-out: no sign of a
    // crowd.
    boolean lost = ending == AttemptOutcome.TIMEOUT && !may.hedging();
    if (!fetched && !a.server().outlier().ejected && !lost) {
      caches.observe(
          ending == AttemptOutcome.REJECTED
              ? 1
              : e.elapsedNanos() / (double) r.type().latencyObjectiveNanos(),
          answerTime.mean(),
          Math.max(1, ring.size()) / (double) settings.routerCount());
    }
  }

  /** Whether connections can be had: from this cache, and from any at all on this machine. */
  private void learnOfDials(AttemptState a, AttemptOutcome ending) {
    boolean refused = ending == AttemptOutcome.CONNECT_FAILED || ending == AttemptOutcome.NOT_SENT;
    if (refused || (a.needsConnection() && !ending.endedLocally())) {
      dialsFailing += NEWEST * ((refused ? 1 : 0) - dialsFailing);
    }
    if (refused) {
      a.server().connection().failed(now);
    } else if (ending.serverResponded()) {
      a.server().connection().answered(now + may.connectionIdleNanos());
    }
  }

  /**
   * How long an answer of the request's class takes at the most, as a rule; its aim until one is
   * known.
   */
  private long lateAfter(RequestState r, boolean fetches) {
    MovingAverage times = fetches ? fetchTime : answerTimes[r.classIndex()];
    double usual = times.mean() * Math.max(1, r.workRatio());
    return times.hasSamples()
        ? (long) (usual + LATE_DEVIATIONS * times.deviation())
        : r.type().latencyObjectiveNanos();
  }

  /**
   * Out longer than answers take: counts against the cache; hedged unless the origin is what is
   * late.
   */
  private void late(RequestState r, AttemptState a) {
    if (!a.isOpen() || r.isStreaming()) {
      return;
    }
    a.countLate();
    judge(a.server(), true);
    if (!furtherAttemptEarned()
        || r.openAttempts() > 1
        || r.type().idempotency() == Idempotency.NON_IDEMPOTENT
        || (a.fetchesFromOrigin() && !a.isServerSilentSince())) {
      return;
    }
    ServerState s = may.hedging() ? pick(r) : null;
    if (s != null) {
      retryBudget--;
      send(r, s, willFetch(r, s));
    } else if (!may.hedging() && may.cancel() && aside) {
      // Not where caches fetch: they go on with what is called off, and the work would be done
      // twice.
      r.moving(true);
      cancelOpen(r, -1);
    }
  }

  /**
   * When the whole fleet does badly more attempts only add to it: sooner so where none can race.
   */
  private boolean furtherAttemptEarned() {
    return retryBudget >= 1 && fleetSick < (may.hedging() ? SICK : SICK / 2);
  }

  private void retry(RequestState r, AttemptState a) {
    // A key that fails wherever it goes takes no further cache with it.
    if (!a.toCache()
        || failures.isKeyAtFault(r.key())
        || !furtherAttemptEarned()
        || r.dueNanos() - now <= answerTimes[r.classIndex()].mean()) {
      giveUp(r, GiveUpReason.RETRY_NOT_EARNED);
      return;
    }
    retryBudget--;
    askCache(r);
  }

  /** The one place where a request is given up: refused where a repeat is harmless, else failed. */
  private void giveUp(RequestState r, GiveUpReason why) {
    if (r.isDone()) {
      return;
    }
    boolean harmless =
        r.type().idempotency() == Idempotency.IDEMPOTENT
            || r.firstWithPossibleEffect() == null
            || (r.type().idempotency() == Idempotency.IDEMPOTENCY_KEY
                && r.type().deduplicationScope() == DeduplicationScope.ALL);
    if (harmless) {
      out.refuse(r.id(), may.retryAfter() ? retryAfter(r) : 0, why);
    } else {
      out.fail(r.id(), why);
    }
    conclude(r, false);
  }

  /**
   * The request is over; what it still has out is called off and those waiting for its key go on.
   */
  private void conclude(RequestState r, boolean answered) {
    if (r.isDone()) {
      return;
    }
    r.finish();
    if (!answered) {
      givenUp.put(r.logicalRequest(), r.objectiveEndsNanos());
    }
    cancelOpen(r, -1);
    fetchQueue.remove(r);
    land(r, answered);
    if (!r.hasOpenAttempt()) {
      requests.remove(r.id());
    }
  }

  private void cancelOpen(RequestState r, int except) {
    for (int i = 0; may.cancel() && i < r.attempts().size(); i++) {
      if (r.attempts().get(i).isOpen() && i != except) {
        out.cancel(r.id(), i);
      }
    }
  }

  // ---- origin: one fetch a key, a limit in flight, the worthiest first

  /**
   * Whether a cache that fetches for itself will ask the origin: it is not known to hold the key.
   */
  private boolean willFetch(RequestState r, ServerState s) {
    return !aside
        && (r.isWrite()
            || (settings.origin().reportsCacheHits() && !held.isCached(r.key(), s.id(), now)));
  }

  /** The first request for a key that is not held asks the origin, later ones wait until it is. */
  private void fetch(RequestState r, ServerState cache) {
    if (r.key() != 0 && !r.isWrite() && r.originFetch() == null) {
      OriginFetch flight = flights.get(r.key());
      if (flight != null) {
        await(r, flight);
        return;
      }
      r.originFetch(new OriginFetch());
      flights.put(r.key(), r.originFetch());
    }
    askOrigin(r, cache);
  }

  private void await(RequestState r, OriginFetch flight) {
    r.originFetch(flight);
    flight.waiting().add(r);
    hold(r);
  }

  /** Holds a request for at most half the time it has left, so that a refusal is still of use. */
  private void hold(RequestState r) {
    r.queued(true);
    out.timer((r.deadlineNanos() - now) / 2, r.id() << 8 | PATIENCE);
  }

  /** A fetch is over: its cache now has the object, or else the next in line fetches. */
  private void land(RequestState r, boolean answered) {
    OriginFetch flight = r.originFetch();
    r.originFetch(null);
    if (flight == null || flight.waiting().remove(r)) {
      return;
    }
    flights.remove(r.key());
    flight.waiting().forEach(w -> w.originFetch(null));
    for (RequestState w : flight.waiting()) {
      ServerState s = r.missedAt();
      if (!answered) {
        refetch(w);
      } else if (s != null
          && legal(w, s)
          && coldBudgetLeft(s)
          && s.load().inFlight() < cap(all.inFlight(), ring.size(), epsilon)) {
        send(w, s, false);
      } else {
        askCache(w);
      }
    }
  }

  private void refetch(RequestState r) {
    if (aside) {
      fetch(r, null);
    } else {
      askCache(r);
    }
  }

  /**
   * Sends through the given cache, or to the origin itself; at the origin's limit the request
   * waits.
   */
  private void askOrigin(RequestState r, ServerState cache) {
    ServerState s = cache;
    for (int i = 0; cache == null && i < origins.size(); i++) {
      s = ServerState.lessLoaded(s, origins.get(i));
    }
    long halfOfTimeLeft = (r.deadlineNanos() - now) / 2;
    if (s == null || noRoomToSpare(r, origin)) {
      giveUp(r, s == null ? GiveUpReason.NO_SERVER : GiveUpReason.OVERLOADED);
    } else if (origin.inFlight < origin.limit) {
      send(r, s, true);
    } else if (fetchTime.mean() * (fetchQueue.size() + 1) / origin.limit < halfOfTimeLeft) {
      fetchQueue.add(r);
      hold(r);
    } else {
      giveUp(r, GiveUpReason.OVERLOADED);
    }
  }

  private void fetchClosed(RequestState r, AttemptState a, RoutingEvent.AttemptClosed e) {
    AttemptOutcome ending = e.outcome();
    // What a cache did before it fetched says nothing of the origin: blaming that would lock the
    // gate.
    boolean cacheOnly =
        a.toCache()
            && (ending.provesNoEffect()
                || ending == AttemptOutcome.RESET
                || a.isServerSilentSince());
    if (ending.endedLocally() || a.server().outlier().ejected || cacheOnly) {
      return;
    }
    if (ending == AttemptOutcome.OK && e.cacheStatus() != CacheStatus.HIT) {
      fetchTime.add(e.elapsedNanos());
    }
    double partOfAim =
        ending == AttemptOutcome.OK
            ? e.elapsedNanos() / (double) r.type().latencyObjectiveNanos()
            : 1;
    origin.observe(partOfAim, fetchTime.mean(), 1);
  }

  private void releaseFetches() {
    while (!fetchQueue.isEmpty() && origin.inFlight < origin.limit) {
      RequestState next =
          fetchQueue.stream().max(Comparator.comparingDouble(this::value)).orElseThrow();
      fetchQueue.remove(next);
      refetch(next);
    }
  }

  private boolean isOrigin(ServerState s) {
    return aside && s.kind() == settings.origin().kind();
  }

  // ---- admission: what is worth least goes first, and only when it is crowded

  /**
   * Part of the highest worth that the request stands for; 1 for the best, little beyond a quota.
   */
  private double value(RequestState r) {
    return r.type().priorityWeight()
        * (r.isOverQuota() ? settings.overQuotaPriorityWeight() : 1)
        / highestWorth;
  }

  private boolean admitted(RequestState r, Gate gate) {
    double part = OPEN_TO_ALL + (1 - OPEN_TO_ALL) * value(r);
    return gate.below(gate.limit * part) && !noRoomToSpare(r, gate);
  }

  private boolean noRoomToSpare(RequestState r, Gate gate) {
    return r.isOverQuota() && !gate.below(gate.spare);
  }

  /**
   * Beyond an even part of its quota, and its share of the traffic here: busy zones' routers see
   * more.
   */
  private boolean overQuota(int index) {
    if (index >= quotas.length || settings.tenants().get(index).quotaPerSecond() <= 0) {
      return false;
    }
    Tenant tenant = settings.tenants().get(index);
    arrivals.count(now);
    tenantArrivals[index].count(now);
    double perSecond = tenant.quotaPerSecond() / settings.routerCount();
    quotas[index].refill(now, perSecond / 1e9, Math.max(1, perSecond), random);
    if (quotas[index].hasToken()) {
      quotas[index].take();
      return false;
    }
    return tenantArrivals[index].perNano(now)
        > SHARE_SLACK * tenant.share() * arrivals.perNano(now);
  }

  /** Beyond a quota: as long as clients listen; else soon enough for the aim, spread by chance. */
  private long retryAfter(RequestState r) {
    long soon = (long) (r.type().latencyObjectiveNanos() * (0.2 + 0.2 * random.nextDouble()));
    return r.isOverQuota() ? may.maxRetryAfterNanos() : Math.min(may.maxRetryAfterNanos(), soon);
  }

  // ---- discovery: the list decides who is on the ring

  private void serverList(RoutingEvent.EndpointsUpdated list) {
    if (list.kind() == EndpointListKind.FAILED) {
      long delay = (long) (watchBackoff * (0.5 + random.nextDouble() / 2));
      watchBackoff = Math.min(2 * watchBackoff, LONGEST_LIST_PAUSE);
      out.timer(delay, WATCH);
      return;
    }
    if (list.kind() != EndpointListKind.DELTA) {
      servers.values().forEach(s -> s.removedFromList(rules.removalIsAdvisory()));
    }
    watchBackoff = list.kind() == EndpointListKind.CACHED ? watchBackoff : firstListPause();
    list.endpoints()
        .forEach(
            e ->
                servers
                    .computeIfAbsent(e.serverId(), ServerState::new)
                    .update(e, settings.stableRatings(), rules.removalIsAdvisory(), startedAt(e)));
    listHeard = listHeard || list.kind() != EndpointListKind.CACHED;
    place();
  }

  /**
   * From when on a start that is new here counts. Lists tell starts by a wall clock that may have
   * been stepped since, or just before this router began; so it counts as one of now. Only in the
   * first lists, which name all starts of the past, one is long ago that is older than any step and
   * any warming up.
   */
  private long startedAt(Endpoint e) {
    boolean longAgo =
        !listHeard && now - e.bootTimeNanos() > LARGEST_CLOCK_STEP + rules.warmUpNanos();
    return longAgo ? 0 : now;
  }

  private long firstListPause() {
    return Math.min(rules.pollIntervalNanos() / 16, LONGEST_LIST_PAUSE);
  }

  /** What is listed as ready has its place, but for what operators have left out. */
  private void place() {
    servers.values().removeIf(ServerState::isForgotten);
    ring.clear();
    origins.clear();
    servers.values().stream()
        .filter(ServerState::isUsable)
        .forEach(s -> (isOrigin(s) ? origins : ring).add(s));
    points = new long[0];
  }

  /**
   * Limits in flight, learned from how long answers take against their aim: for all, and for the
   * rest.
   */
  private final class Gate {
    private final double crowded;
    private double limit = 1e9;
    private double spare = 1e9;
    private int inFlight;
    private final LatencyRatio slowness = new LatencyRatio(NEWEST);
    private long shrunkAt;

    private Gate(double crowded) {
      this.crowded = crowded;
    }

    /**
     * A limit's fraction is kept by chance: rounded up, hundreds of routers would add up to far
     * more.
     */
    boolean below(double most) {
      return inFlight + random.nextDouble() < most;
    }

    void observe(double partOfAim, double answerTime, double least) {
      slowness.add(partOfAim);
      boolean due = now - shrunkAt > answerTime;
      boolean busy = slowness.value() > BUSY;
      spare = next(spare, busy, due, 1.0 / settings.routerCount(), 1 / spare);
      // Far from crowded it doubles a round: a short spell must not refuse for many times its
      // length.
      double step = busy || aside ? 1 / limit : 1;
      limit = next(limit, slowness.value() > crowded, due, least, step);
      shrunkAt = due && busy ? now : shrunkAt;
    }

    private double next(double old, boolean slow, boolean due, double least, double step) {
      if (slow) {
        return due ? Math.max(least, Math.min(old, inFlight + 1) * SHRINK) : old;
      }
      return old + (old < 1 ? NEWEST * old : step);
    }
  }
}
