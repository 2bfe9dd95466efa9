package beaconturn.release;

/**
 * A permit for an instance to be out of service, counted against the disruption budget. It is
 * acquired before a planned step starts and returned after the instance is observed back in
 * service. It is not bound to a lease, because the holder may die while the instance is out of
 * service.
 *
 * @param number permit number; ascending and never reused
 * @param kind kind of the instance
 * @param instanceId the instance
 * @param holder release or operator that acquired the permit
 * @param reason reason given by the holder
 */
public record DisruptionPermit(
    long number, InstanceKind kind, String instanceId, String holder, String reason) {}
