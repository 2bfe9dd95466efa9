package beaconturn.release;

/**
 * The step of one instance in a release.
 *
 * @param instanceId the instance
 * @param permitNumber number of the permit under which it is, or was last, out of service
 * @param phase how far the step is
 * @param variant what the instance is to run
 * @param agentIncarnation the agent that began the step, or empty
 * @param failureReason why it failed, or empty
 * @param previousStartNanos the instance's latest start that any router knew of when the step was
 *     granted, by the clock of discovery; -1 where none was known
 * @param readyAfterNanos how long the instance took to get ready; 0 where that is not known
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
  /** Whether the instance is ready and runs that variant. */
  boolean isReadyWith(InstanceVariant wanted) {
    return phase == StepPhase.READY && variant == wanted;
  }

  /** The same step in another phase. */
  RolloutStep withPhase(StepPhase next, String incarnation, String reason) {
    return new RolloutStep(
        instanceId,
        permitNumber,
        next,
        variant,
        incarnation,
        reason,
        previousStartNanos,
        readyAfterNanos);
  }
}
