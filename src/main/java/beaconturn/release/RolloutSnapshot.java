package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The release data in the store at one revision.
 *
 * @param storeId cluster identifier of the store
 * @param fleet instances of the fleet and its disruption budget
 * @param plan plan of the current or the last release; null before the first
 * @param state state of the rollout
 * @param steps steps by instance
 * @param configChange configuration version of the release; null before one is proposed
 * @param permits disruption permits by number
 * @param driver incarnation of the driver; empty if there is none
 * @param agents incarnations of agents by instance
 * @param lastPermitNumber number of the last permit issued; 0 before the first
 * @param historyLength number of lines in the history
 * @param samples metrics by instance
 * @param revisions revision of the last change by key
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
  /** Why drivers and agents do not act on a release that was started in another store. */
  static final String STORE_REPLACED =
      "the store was restored or replaced since the release was started: its records of"
          + " parts may be outdated; abandon the release, check what each part runs, and start"
          + " another release";

  /**
   * Decodes the response to a read of {@link RolloutKeys#prefix()}.
   *
   * @throws AgreementException if a stored text is invalid
   */
  public static RolloutSnapshot of(RolloutKeys keys, StoreResponse.Success response)
      throws AgreementException {
    return new RolloutSnapshotReader(keys).read(response);
  }

  /**
   * Returns whether the current release was started in another store, in which case the steps
   * recorded here may be outdated.
   */
  boolean storeReplaced() {
    return plan != null && !state.isOver() && !plan.storeId().equals(storeId);
  }

  /** Returns the condition that a key has not changed since this snapshot. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, revisions.getOrDefault(key, 0L));
  }

  /** Returns the metrics of an instance; {@link InstanceSample#NONE} if none are reported. */
  InstanceSample sample(String instanceId) {
    return samples.getOrDefault(instanceId, InstanceSample.NONE);
  }

  /** Returns the phase of an instance's step; null if there is no step. */
  StepPhase phase(String instanceId) {
    RolloutStep step = steps.get(instanceId);
    return step == null ? null : step.phase();
  }

  /**
   * Returns the unavailable instances of a kind with the reasons: instances with a permit, and
   * instances that are out of service without one.
   *
   * @param unplanned reasons by instance of that kind that is out of service without a permit
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
