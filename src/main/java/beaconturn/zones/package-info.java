/**
 * Which zones serve whose keys, decided in common: what routers see of each zone is pooled, one of
 * them that is the leader decides, and each router follows on a lease. No I/O; driven by one thread
 * on an injected clock.
 *
 * <p>{@link beaconturn.zones.ZoneMember} is the state machine of one router, {@link
 * beaconturn.zones.FailoverPlanner} what the leader decides by, and {@link
 * beaconturn.zones.ZonesAdmin} what operators do. It guarantees that what all sources may send to a
 * zone together is never more than was allotted of it, whoever is cut off, paused or replaced.
 */
package beaconturn.zones;
