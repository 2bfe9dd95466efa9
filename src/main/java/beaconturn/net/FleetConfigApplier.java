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
 * Brings what routers have agreed on into force. {@link #beforeStep} runs on the routing thread,
 * which owns all fields that are not marked otherwise.
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
   * The configuration that the engine is under, null before the first; written by the routing
   * thread, read by any.
   */
  private volatile FleetConfigSource.DueConfig applied;

  /**
   * Nothing is in force yet.
   *
   * @param fetchEndpointList asks discovery for the whole list, without waiting
   * @param excludedByOperators servers that stay out when the fleet lets go of them
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

  /** Whether all routers have agreed to leave the cache server out; any thread. */
  boolean isExcluded(String server) {
    FleetConfigSource.DueConfig now = applied;
    return now != null && now.excludedServers().contains(server);
  }

  /**
   * Puts the engine under what is due, if that is something else. Called before each step of the
   * engine: an agreed configuration may have changed, or its lease ended while the thread was kept
   * from running, and no decision may be made under one that is over.
   */
  void beforeStep(RoutingEngine engine) {
    applyZoneWeights(engine);
    applyConfig(engine);
  }

  @SuppressWarnings("ReferenceEquality") // The source hands out another object for a change.
  private void applyZoneWeights(RoutingEngine engine) {
    ZoneWeightsSource source = inputs.zoneWeights();
    ZoneWeights due = source == null ? zoneWeights : source.dueWeights();
    if (due != zoneWeights) {
      zoneWeights = due;
      engine.handle(new RoutingMessage.ZoneWeightsReceived(due));
    }
  }

  @SuppressWarnings("ReferenceEquality") // The source hands out another object for a change.
  private void applyConfig(RoutingEngine engine) {
    FleetConfigSource.DueConfig due = inputs.fleetConfig().dueConfig();
    if (due == applied) {
      return;
    }
    FleetConfigSource.DueConfig before = applied;
    applied = due;
    switchSettings(engine, due);
    Set<String> excludedBefore = before == null ? Set.of() : before.excludedServers();
    updateExcluded(engine, excludedBefore, due.excludedServers());
    long oldestListBefore = before == null ? 0 : before.oldestListVersion();
    if (due.oldestListVersion() > oldestListBefore) {
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

  private void updateExcluded(RoutingEngine engine, Set<String> before, Set<String> due) {
    long nowNanos = clock.now();
    due.stream()
        .filter(server -> !before.contains(server))
        .forEach(server -> exclude(engine, server, true, nowNanos));
    before.stream()
        .filter(server -> !due.contains(server) && !excludedByOperators.test(server))
        .forEach(server -> exclude(engine, server, false, nowNanos));
  }

  private static void exclude(RoutingEngine engine, String server, boolean out, long nowNanos) {
    engine.handle(
        new RoutingMessage.OverrideRequested(Fnv1a.of(server), out, nowNanos, true, known -> {}));
  }
}
