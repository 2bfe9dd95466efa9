package beaconturn.release;

import beaconturn.agreement.ConfigContent;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The plan of a release.
 *
 * @param number number of the release, from 1; 0 before the release is started
 * @param kind kind of the instances
 * @param waves instances by wave; a wave starts after all instances of the previous one are
 *     verified
 * @param soakNanos minimum time that an instance is in service before it is verified
 * @param minResponses minimum number of responses of an instance for a comparison
 * @param regressionBounds how much worse changed instances may do than their peers
 * @param readyTimeoutNanos maximum time that an instance may take to become ready
 * @param selfRollbackNanos time after a failed step at which an agent that cannot reach the store
 *     rolls its instance back by itself; 0 disables this
 * @param reason reason of the release, for the history
 * @param configContent configuration that takes effect before the first wave and is reverted last;
 *     null if the release has none
 * @param storeId cluster identifier of the store in which the release was started, empty before;
 *     drivers and agents do not act on the plan in another store
 */
public record RolloutPlan(
    long number,
    InstanceKind kind,
    List<List<String>> waves,
    long soakNanos,
    long minResponses,
    RegressionBounds regressionBounds,
    long readyTimeoutNanos,
    long selfRollbackNanos,
    String reason,
    ConfigContent configContent,
    String storeId) {
  /** Makes an immutable copy of the waves. */
  public RolloutPlan {
    waves = waves.stream().map(List::copyOf).toList();
  }

  /** Returns this plan with a release number and the identifier of the store. */
  RolloutPlan startedAs(long startedNumber, String startedStoreId) {
    return new RolloutPlan(
        startedNumber,
        kind,
        waves,
        soakNanos,
        minResponses,
        regressionBounds,
        readyTimeoutNanos,
        selfRollbackNanos,
        reason,
        configContent,
        startedStoreId);
  }

  /** Returns all instances in the order in which they are changed. */
  public List<String> instanceIds() {
    return waves.stream().flatMap(List::stream).toList();
  }

  /** Returns why the plan cannot be carried out on a fleet; null if it can. */
  public String blockingReason(ReleaseFleet fleet) {
    ReleaseFleet.Group group = fleet.group(kind);
    String instances = instancesBlockingReason(group);
    if (instances != null) {
      return instances;
    }
    if (group.maxUnavailable() < 1 || group.maxUnavailablePerZone() < 1) {
      return "the disruption budget allows no " + kind.serializedName() + " to be out of service";
    }
    return failuresBlockingReason(group);
  }

  private String instancesBlockingReason(ReleaseFleet.Group group) {
    Set<String> distinct = new HashSet<>();
    for (String instanceId : instanceIds()) {
      if (group.zoneOf(instanceId) == null) {
        return "there is no " + kind.serializedName() + " '" + instanceId + "' in the fleet";
      }
      if (!distinct.add(instanceId)) {
        return "'" + instanceId + "' is in the plan twice";
      }
    }
    return distinct.isEmpty() ? "the plan names no parts" : null;
  }

  /**
   * Returns why a zone would have no instance in service with the budget used up and the tolerated
   * number of failures; null if each would have one.
   */
  private String failuresBlockingReason(ReleaseFleet.Group group) {
    int tolerated = group.capacity().toleratedFailures();
    if (tolerated < 0) {
      return null;
    }
    Set<String> planned = Set.copyOf(instanceIds());
    int unavailable = Math.min(group.maxUnavailable(), group.maxUnavailablePerZone());
    for (Map.Entry<String, List<String>> zone : group.instancesByZone().entrySet()) {
      int size = zone.getValue().size();
      if (size - unavailable - tolerated < 1
          && zone.getValue().stream().anyMatch(planned::contains)) {
        return String.format(
            Locale.ROOT,
            "%s has %d %ss: with %d out of service and %d failed, none is left",
            zone.getKey(),
            size,
            kind.serializedName(),
            unavailable,
            tolerated);
      }
    }
    return null;
  }
}
