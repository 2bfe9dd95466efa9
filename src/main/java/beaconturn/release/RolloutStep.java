package beaconturn.release;

/**
 * The step of one instance in a release.
 *
 * @param instanceId the instance
 * @param permitNumber number of the latest permit under which the instance was taken out of service
 * @param phase progress of the step
 * @param variant the target variant of the instance
 * @param agentIncarnation incarnation of the agent that started the step; empty before the start
 * @param failureReason why the step failed; empty if it did not
 * @param previousStartNanos latest start of the instance that any router reported when the step was
 *     granted, by the clock of discovery; -1 if no router reported one
 * @param readyAfterNanos time that the instance took to become ready; 0 if not known
 */
public record RolloutStep(
    String instanceId,
    long permitNumber,
    StepPhase phase,
    InstanceVariant variant,
    String agentIncarnation,
    String failureReason,
    long previousStartNanos,
    long readyAfterNanos) {
  boolean isReadyWith(InstanceVariant expected) {
    return phase == StepPhase.READY && variant == expected;
  }

  RolloutStep withPhase(StepPhase newPhase, String newAgentIncarnation, String newFailureReason) {
    return new RolloutStep(
        instanceId,
        permitNumber,
        newPhase,
        variant,
        newAgentIncarnation,
        newFailureReason,
        previousStartNanos,
        readyAfterNanos);
  }
}
