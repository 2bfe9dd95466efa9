package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that the store holds of a release, as of one revision.
 *
 * @param storeId identifies the store
 * @param fleet instances of the fleet and its disruption budget
 * @param plan plan of the current release, or of the last one; null before the first
 * @param state state of the rollout
 * @param steps steps by instance
 * @param configChange configuration version that goes with the release, or null while none does
 * @param permits disruption permits by number
 * @param driver incarnation of the driver, or empty
 * @param agents incarnation of the agent of each instance
 * @param lastPermitNumber number of the last permit
 * @param historyLength lines in the history
 * @param samples metrics of instances
 * @param revisions revision of the last change of each key
 */
public record RolloutSnapshot(
    String storeId,
    ReleaseFleet fleet,
    RolloutPlan plan,
    RolloutState state,
    SortedMap<String, RolloutStep> steps,
    ConfigChange configChange,
    SortedMap<Long, DisruptionPermit> permits,
    String driver,
    SortedMap<String, String> agents,
    long lastPermitNumber,
    long historyLength,
    SortedMap<String, InstanceSample> samples,
    Map<String, Long> revisions) {
  /** Why nobody acts on a release of another store. */
  static final String STORE_REPLACED =
      "the store was restored or replaced since the release began: what it says"
          + " of parts may be old; abandon the release, see who runs what, and begin another";

  /**
   * Decodes the response to a read of {@link RolloutKeys#prefix()}.
   *
   * @throws AgreementException if a stored text cannot be read
   */
  public static RolloutSnapshot of(RolloutKeys keys, StoreResponse.Success response)
      throws AgreementException {
    return new RolloutSnapshotReader(keys).read(response);
  }

  /**
   * Whether the release was started in another store. What this one says of its steps may be older
   * than what has been done.
   */
  boolean storeReplaced() {
    return plan != null && !state.isOver() && !plan.storeId().equals(storeId);
  }

  /** The condition that a key is as it was read here. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, revisions.getOrDefault(key, 0L));
  }

  /** The metrics of an instance; none where its agent has reported none. */
  InstanceSample sample(String instanceId) {
    return samples.getOrDefault(instanceId, InstanceSample.NONE);
  }

  /** The phase of an instance, or null where it has no step. */
  StepPhase phase(String instanceId) {
    RolloutStep step = steps.get(instanceId);
    return step == null ? null : step.phase();
  }

  /**
   * Unavailable instances of a kind, each with the reason: those that hold a permit and those that
   * are out without one.
   *
   * @param unplanned instances of that kind that are out without a permit, with reasons
   */
  public SortedMap<String, String> unavailable(InstanceKind kind, Map<String, String> unplanned) {
    SortedMap<String, String> reasons = new TreeMap<>(unplanned);
    for (DisruptionPermit permit : permits.values()) {
      if (permit.kind() == kind) {
        reasons.put(
            permit.instanceId(),
            "permit " + permit.number() + " of " + permit.holder() + ": " + permit.reason());
      }
    }
    return reasons;
  }
}
