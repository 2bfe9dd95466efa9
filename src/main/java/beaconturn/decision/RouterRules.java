package beaconturn.decision;

import java.util.SplittableRandom;

/** Creates and connects the rules of one router. */
final class RouterRules {
  final EventClock clock;
  final ResponseTimes times;
  final FleetLoad load;
  final HashRing ring = new HashRing();
  final AttemptGuard guard;
  final KeyFailures keyFailures = new KeyFailures();
  final CachedKeyIndex cachedKeys;
  final QuotaTracker quotas;
  final ClientRetries clientRetries;
  final GiveUpPolicy giveUps;
  final AdmissionController admission;
  final SlowStart slowStart;
  final OutlierDetector outliers;
  final ConnectionFailures connections;
  final LoadBounds bounds;
  final KeySpread keySpread;
  final ServerSelector selector;
  final RetryPolicy retries;
  final HedgingPolicy hedging;
  final EndpointWatch watch;
  final ServerRegistry registry;
  final AttemptFeedback feedback;

  RouterRules(RoutingSettings settings, long seed, long nowNanos, RoutingActions actions) {
    SplittableRandom random = new SplittableRandom(seed);
    SafetyLimits limits = settings.safetyLimits();
    RoutingPermissions permissions = settings.permissions();
    clock = new EventClock(nowNanos);
    times = new ResponseTimes(settings.classes().size());
    load = new FleetLoad(clock, times);
    guard = new AttemptGuard(permissions, clock);
    cachedKeys = new CachedKeyIndex(settings.longestDeadlineNanos());
    quotas = new QuotaTracker(settings, clock, random);
    clientRetries = new ClientRetries(clock);
    giveUps = new GiveUpPolicy(permissions, random);
    admission = new AdmissionController(settings, clock, random, keyFailures);
    slowStart = new SlowStart(limits, clock, ring, random);
    outliers = new OutlierDetector(clock, ring, times);
    connections = new ConnectionFailures(permissions, clock, random);
    LoadReports reports = new LoadReports(clock, settings.loadReportFields());
    bounds = new LoadBounds(settings, load, reports, admission.originLimit());
    keySpread = new KeySpread(settings, ring);
    selector = new ServerSelector(settings, random, this);
    retries = new RetryPolicy(permissions, this);
    hedging = new HedgingPolicy(settings, clock, times, retries);
    watch = new EndpointWatch(limits, clock, random, actions);
    registry = new ServerRegistry(settings, ring, watch);
    feedback = new AttemptFeedback(settings, this, reports);
  }
}
