package beaconturn.history;

import java.util.List;
import java.util.Objects;

/**
 * No planned step takes an instance out while as many are out as the disruption budget allows, for
 * whatever reason: a step, a drain, a fault, a pause or a warm-up. Checked from processes, from the
 * endpoint list and from permits of operators, not from what a release says of itself.
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
      if (!isUnderPreviousPermit(history, change, changes.subList(0, i))) {
        checkOut(history, outages, change.atNanos(), change.instanceId());
      }
    }
    for (HistoryEvent.DrainPermitChanged permit :
        history.events(HistoryEvent.DrainPermitChanged.class)) {
      if (bounds.caches() && permit.taken()) {
        checkOut(history, outages, permit.atNanos(), permit.server());
      }
    }
  }

  /**
   * Whether an instance goes back under the permit of the change before, which it never returned:
   * then no further instance goes out.
   */
  private static boolean isUnderPreviousPermit(
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
   * The budget at a time, or the larger one of those lately in force: who has decided by the one
   * before may act a little later.
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
        boolean lately = defined.atNanos() + bounds.haltWithinNanos() >= atNanos;
        largest = lately ? larger(defined, current) : defined;
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

  /** Checks that an instance may go out at a time. */
  private void checkOut(
      HistoryIndex history,
      List<UnavailabilityIndex.Outage> outages,
      long atNanos,
      String instanceId) {
    RolloutBounds bounds = history.bounds().rollout();
    HistoryEvent.DisruptionBudgetDefined budget = budgetAt(history, atNanos);
    List<String> out =
        outages.stream()
            .filter(outage -> !outage.instanceId().equals(instanceId))
            .filter(outage -> countsAt(bounds, outage, atNanos))
            .map(UnavailabilityIndex.Outage::instanceId)
            .distinct()
            .toList();
    String zone = bounds.zones().get(instanceId);
    List<String> sameZone =
        out.stream().filter(other -> Objects.equals(bounds.zones().get(other), zone)).toList();
    check(
        out.size() < budget.maxUnavailable() && sameZone.size() < budget.maxUnavailablePerZone(),
        atNanos,
        "",
        "",
        instanceId
            + " was taken out while "
            + out
            + " were out, "
            + sameZone
            + " of its site "
            + zone);
  }

  private static boolean countsAt(
      RolloutBounds bounds, UnavailabilityIndex.Outage outage, long atNanos) {
    long noticedNanos = outage.planned() ? 0 : bounds.noticedWithinNanos();
    return outage.fromNanos() + noticedNanos < atNanos && atNanos < outage.toNanos();
  }
}
