/**
 * Failover between zones: decides which zones serve the keys of which zone. Routers report their
 * observations of all zones, a leader elected among them derives plans, and each router follows the
 * plan under a lease. No I/O; driven by one thread on an injected clock.
 *
 * <p>{@link beaconturn.zones.ZoneMember} is the state machine of one router, {@link
 * beaconturn.zones.FailoverPlanner} makes the leader's decisions, and {@link
 * beaconturn.zones.ZonesAdmin} provides the operators' commands. The plans guarantee that all
 * sources together never send more to a zone than was allotted of its capacity, even if routers are
 * cut off, paused or replaced.
 */
package beaconturn.zones;
