package beaconturn.history;

import java.util.List;
import java.util.Objects;

/**
 * Checks that no planned step takes an instance out of service while as many instances are
 * unavailable as the disruption budget allows. Steps, drains, faults, pauses and warm-ups count, as
 * recorded by processes, the endpoint list and operators' permits; what a release reports of itself
 * is not used.
 */
final class UnavailabilityBudget extends Invariant {
  UnavailabilityBudget() {
    super("never-too-many-out", "no step takes a part out while as many are out as may be");
  }

  @Override
  void evaluate(HistoryIndex history) {
    RolloutBounds bounds = history.bounds().rollout();
    if (bounds == null) {
      return;
    }
    List<UnavailabilityIndex.Outage> outages = UnavailabilityIndex.of(history);
    List<HistoryEvent.VariantChangeStarted> changes =
        history.events(HistoryEvent.VariantChangeStarted.class);
    for (int i = 0; i < changes.size(); i++) {
      HistoryEvent.VariantChangeStarted change = changes.get(i);
      if (!reusesPermit(history, change, changes.subList(0, i))) {
        checkWithinBudget(history, outages, change.atNanos(), change.instanceId());
      }
    }
    for (HistoryEvent.DrainPermitChanged permit :
        history.events(HistoryEvent.DrainPermitChanged.class)) {
      if (bounds.ofCacheServers() && permit.taken()) {
        checkWithinBudget(history, outages, permit.atNanos(), permit.server());
      }
    }
  }

  /**
   * Returns whether an instance changes back under the permit of its previous change, which was not
   * returned: the number of unavailable instances does not grow.
   */
  private static boolean reusesPermit(
      HistoryIndex history,
      HistoryEvent.VariantChangeStarted change,
      List<HistoryEvent.VariantChangeStarted> previous) {
    long previousNanos =
        previous.stream()
            .filter(other -> other.instanceId().equals(change.instanceId()))
            .mapToLong(HistoryEvent.VariantChangeStarted::atNanos)
            .max()
            .orElse(Long.MAX_VALUE);
    return previousNanos != Long.MAX_VALUE
        && history.events(HistoryEvent.PermitTaken.class).stream()
            .filter(permit -> permit.instanceId().equals(change.instanceId()))
            .noneMatch(
                permit -> permit.atNanos() > previousNanos && permit.atNanos() <= change.atNanos());
  }

  /**
   * Returns the budget at a time. While a change of the budget is recent, a step may have been
   * decided by the previous budget, so the larger of both applies.
   */
  private static HistoryEvent.DisruptionBudgetDefined budgetAt(HistoryIndex history, long atNanos) {
    RolloutBounds bounds = history.bounds().rollout();
    HistoryEvent.DisruptionBudgetDefined current =
        new HistoryEvent.DisruptionBudgetDefined(
            Long.MIN_VALUE, bounds.maxUnavailable(), bounds.maxUnavailablePerZone());
    HistoryEvent.DisruptionBudgetDefined largest = current;
    for (HistoryEvent.DisruptionBudgetDefined defined :
        history.events(HistoryEvent.DisruptionBudgetDefined.class)) {
      if (defined.atNanos() <= atNanos) {
        boolean recent = defined.atNanos() + bounds.haltDelayNanos() >= atNanos;
        largest = recent ? larger(defined, current) : defined;
        current = defined;
      }
    }
    return largest;
  }

  private static HistoryEvent.DisruptionBudgetDefined larger(
      HistoryEvent.DisruptionBudgetDefined defined, HistoryEvent.DisruptionBudgetDefined before) {
    return new HistoryEvent.DisruptionBudgetDefined(
        defined.atNanos(),
        Math.max(before.maxUnavailable(), defined.maxUnavailable()),
        Math.max(before.maxUnavailablePerZone(), defined.maxUnavailablePerZone()));
  }

  /** Checks that the budget allows an instance to be taken out of service at a time. */
  private void checkWithinBudget(
      HistoryIndex history,
      List<UnavailabilityIndex.Outage> outages,
      long atNanos,
      String instanceId) {
    RolloutBounds bounds = history.bounds().rollout();
    HistoryEvent.DisruptionBudgetDefined budget = budgetAt(history, atNanos);
    List<String> unavailable =
        outages.stream()
            .filter(outage -> !outage.instanceId().equals(instanceId))
            .filter(outage -> isCountedAt(bounds, outage, atNanos))
            .map(UnavailabilityIndex.Outage::instanceId)
            .distinct()
            .toList();
    String zone = bounds.zones().get(instanceId);
    List<String> unavailableInZone =
        unavailable.stream()
            .filter(other -> Objects.equals(bounds.zones().get(other), zone))
            .toList();
    check(
        unavailable.size() < budget.maxUnavailable()
            && unavailableInZone.size() < budget.maxUnavailablePerZone(),
        atNanos,
        "",
        "",
        instanceId
            + " was taken out while "
            + unavailable
            + " were out, "
            + unavailableInZone
            + " of its site "
            + zone);
  }

  private static boolean isCountedAt(
      RolloutBounds bounds, UnavailabilityIndex.Outage outage, long atNanos) {
    long detectionNanos = outage.planned() ? 0 : bounds.detectionDelayNanos();
    return outage.fromNanos() + detectionNanos < atNanos && atNanos < outage.toNanos();
  }
}
