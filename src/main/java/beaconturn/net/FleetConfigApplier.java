package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.RoutingEngine;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.ZoneWeights;
import beaconturn.net.io.Fnv1a;
import java.util.Set;
import java.util.function.Predicate;
import java.util.logging.Logger;

/**
 * Applies the configuration and zone weights that routers have agreed on. {@link #beforeStep} runs
 * on the routing thread, which owns all fields not marked otherwise.
 */
final class FleetConfigApplier {
  private static final Logger LOG = Logger.getLogger(FleetConfigApplier.class.getName());

  private final RouterInputs inputs;
  private final Clock clock;
  private final ActiveSettings settings;
  private final Runnable fetchEndpointList;
  private final Predicate<String> excludedByOperators;
  private ZoneWeights zoneWeights = ZoneWeights.UNWEIGHTED;
  private long settingsSwitches;

  /**
   * The configuration applied to the engine, or null if there is none yet. Written by the routing
   * thread, read by any thread.
   */
  private volatile FleetConfigSource.DueConfig applied;

  /**
   * Creates an applier that has not applied a configuration yet.
   *
   * @param fetchEndpointList requests the whole endpoint list from discovery, without waiting
   * @param excludedByOperators cache servers that stay excluded when the fleet includes them again
   */
  FleetConfigApplier(
      RouterInputs inputs,
      Clock clock,
      ActiveSettings settings,
      Runnable fetchEndpointList,
      Predicate<String> excludedByOperators) {
    this.inputs = inputs;
    this.clock = clock;
    this.settings = settings;
    this.fetchEndpointList = fetchEndpointList;
    this.excludedByOperators = excludedByOperators;
  }

  /** Whether all routers have agreed to exclude the cache server. For any thread. */
  boolean isExcluded(String server) {
    FleetConfigSource.DueConfig now = applied;
    return now != null && now.excludedServers().contains(server);
  }

  /**
   * Applies the due configuration and zone weights to the engine if they have changed. Called
   * before each step of the engine: the agreed configuration may have changed, or its lease may
   * have expired while the thread was not running, and no decision may be made under an expired
   * lease.
   */
  void beforeStep(RoutingEngine engine) {
    applyZoneWeights(engine);
    applyConfig(engine);
  }

  @SuppressWarnings("ReferenceEquality") // The source returns another object after a change.
  private void applyZoneWeights(RoutingEngine engine) {
    ZoneWeightsSource source = inputs.zoneWeights();
    ZoneWeights due = source == null ? zoneWeights : source.dueWeights();
    if (due != zoneWeights) {
      zoneWeights = due;
      engine.handle(new RoutingMessage.ZoneWeightsReceived(due));
    }
  }

  @SuppressWarnings("ReferenceEquality") // The source returns another object after a change.
  private void applyConfig(RoutingEngine engine) {
    FleetConfigSource.DueConfig due = inputs.fleetConfig().dueConfig();
    if (due == applied) {
      return;
    }
    FleetConfigSource.DueConfig previous = applied;
    applied = due;
    switchSettings(engine, due);
    Set<String> previouslyExcluded = previous == null ? Set.of() : previous.excludedServers();
    updateExcluded(engine, previouslyExcluded, due.excludedServers());
    long previousOldestList = previous == null ? 0 : previous.oldestListVersion();
    if (due.oldestListVersion() > previousOldestList) {
      fetchEndpointList.run();
    }
    inputs.fleetConfig().configApplied(due);
    LOG.info("acts on " + due.description());
  }

  private void switchSettings(RoutingEngine engine, FleetConfigSource.DueConfig due) {
    if (due.settings().equals(settings.current())) {
      return;
    }
    settingsSwitches++;
    engine.handle(
        new RoutingMessage.SettingsReplaced(
            due.settings().routing(), inputs.config().seed() + settingsSwitches));
    settings.activate(due.settings());
  }

  private void updateExcluded(RoutingEngine engine, Set<String> previous, Set<String> due) {
    long nowNanos = clock.now();
    due.stream()
        .filter(server -> !previous.contains(server))
        .forEach(server -> exclude(engine, server, true, nowNanos));
    previous.stream()
        .filter(server -> !due.contains(server) && !excludedByOperators.test(server))
        .forEach(server -> exclude(engine, server, false, nowNanos));
  }

  private static void exclude(
      RoutingEngine engine, String server, boolean excluded, long nowNanos) {
    engine.handle(
        new RoutingMessage.OverrideRequested(
            Fnv1a.of(server), excluded, nowNanos, true, known -> {}));
  }
}
