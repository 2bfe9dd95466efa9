/** Tests of zone failover: planner and members with a simulated store, in virtual time. */
package beaconturn.zones;
