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
 * @param number number of the release, from 1
 * @param kind kind of the instances
 * @param waves instances by wave; a wave begins when all of the one before have been verified
 * @param soakNanos how long an instance is watched once it is ready
 * @param minResponses answers of an instance that a comparison needs
 * @param regressionBounds by how much changed instances may do worse than their peers
 * @param readyTimeoutNanos how long an instance may take to get ready
 * @param selfRollbackNanos after how long without the store an agent brings back by itself what
 *     failed; 0 for never
 * @param reason why, for the history
 * @param configContent configuration that comes into force before the first wave and is reverted
 *     last, or null
 * @param storeId the store in which it was started, empty before; in another store nobody acts
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
  /** Copies the waves. */
  public RolloutPlan {
    waves = waves.stream().map(List::copyOf).toList();
  }

  /** The same plan, started as that release in that store. */
  RolloutPlan startedAs(long releaseNumber, String store) {
    return new RolloutPlan(
        releaseNumber,
        kind,
        waves,
        soakNanos,
        minResponses,
        regressionBounds,
        readyTimeoutNanos,
        selfRollbackNanos,
        reason,
        configContent,
        store);
  }

  /** All instances in the order in which they are changed. */
  public List<String> instanceIds() {
    return waves.stream().flatMap(List::stream).toList();
  }

  /** Why a fleet cannot carry the plan out, or null where it can. */
  public String blockingReason(ReleaseFleet fleet) {
    ReleaseFleet.Group group = fleet.group(kind);
    String instances = instancesBlockingReason(group);
    if (instances != null) {
      return instances;
    }
    if (group.maxUnavailable() < 1 || group.maxUnavailablePerZone() < 1) {
      return "no " + kind.serializedName() + " may be out at all";
    }
    return failuresBlockingReason(group);
  }

  private String instancesBlockingReason(ReleaseFleet.Group group) {
    Set<String> named = new HashSet<>();
    for (String instanceId : instanceIds()) {
      if (group.zoneOf(instanceId) == null) {
        return "there is no " + kind.serializedName() + " '" + instanceId + "' in the fleet";
      }
      if (!named.add(instanceId)) {
        return "'" + instanceId + "' stands in it twice";
      }
    }
    return named.isEmpty() ? "it names no part" : null;
  }

  /** Why a zone would be left without instances if as many fail as are to be tolerated, or null. */
  private String failuresBlockingReason(ReleaseFleet.Group group) {
    int tolerated = group.capacity().toleratedFailures();
    if (tolerated < 0) {
      return null;
    }
    Set<String> named = Set.copyOf(instanceIds());
    int out = Math.min(group.maxUnavailable(), group.maxUnavailablePerZone());
    for (Map.Entry<String, List<String>> zone : group.instancesByZone().entrySet()) {
      int size = zone.getValue().size();
      if (size - out - tolerated < 1 && zone.getValue().stream().anyMatch(named::contains)) {
        return String.format(
            Locale.ROOT,
            "%s has %d %ss: with %d out and %d that fail none is left",
            zone.getKey(),
            size,
            kind.serializedName(),
            out,
            tolerated);
      }
    }
    return null;
  }
}
