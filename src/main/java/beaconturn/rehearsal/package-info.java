/**
 * Rehearsals: reads a scenario from a file, runs stand-ins of its cache servers and discovery on
 * loopback sockets, real routers and seeded clients, injects the faults at their times, and checks
 * the recorded history against the invariants.
 */
package beaconturn.rehearsal;
