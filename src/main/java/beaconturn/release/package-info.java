/**
 * Fleet-wide releases and drains: a disruption budget with numbered permits, waves with a canary
 * check, halt and rollback.
 *
 * <p>Decisions are made without I/O, from a {@link beaconturn.release.RolloutSnapshot} of the
 * coordination store. Each step is one transaction, conditional on the keys that the decision was
 * based on. The driver ({@link beaconturn.release.RolloutDriver}) decides for the fleet, an agent
 * ({@link beaconturn.release.RolloutAgent}) acts on one instance, and operators use {@link
 * beaconturn.release.RolloutAdmin} and {@link beaconturn.release.DisruptionPermitAdmin}.
 *
 * <p>Guarantees: no planned step starts while the number of unavailable instances, planned or not,
 * has reached the budget; transactions of a replaced driver or agent fail; after a halt no step
 * starts later than the agents' call timeout.
 */
package beaconturn.release;
