package beaconturn.release;

/**
 * The right of an instance to be out of service, counted against the disruption budget. It is taken
 * before a planned step begins and returned once the instance is seen back in service. It is bound
 * to no lease, as its holder may die while the instance is out.
 *
 * @param number grows with each permit and is never issued again
 * @param kind kind of the instance
 * @param instanceId the instance
 * @param holder who took it: a release or an operator
 * @param reason why, in the holder's words
 */
public record DisruptionPermit(
    long number, InstanceKind kind, String instanceId, String holder, String reason) {}
