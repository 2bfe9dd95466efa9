/**
 * Releases and drains over a whole fleet: a disruption budget with numbered permits, waves with a
 * canary check, halt and rollback.
 *
 * <p>Everything is decided without I/O, from a {@link beaconturn.release.RolloutSnapshot} of the
 * coordination store; each step is one transaction whose conditions are what it was decided on. The
 * driver ({@link beaconturn.release.RolloutDriver}) decides for the fleet, an agent ({@link
 * beaconturn.release.RolloutAgent}) acts on one instance, and operators use {@link
 * beaconturn.release.RolloutAdmin} and {@link beaconturn.release.DisruptionPermitAdmin}.
 *
 * <p>Guaranteed: no planned step begins while as many instances are unavailable as the budget
 * allows, for whatever reason; a driver or an agent that was replaced can do nothing with what it
 * has decided; after a halt no step begins beyond the stated time.
 */
package beaconturn.release;
