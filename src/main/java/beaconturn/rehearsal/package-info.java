/**
 * Rehearsals: a scenario from a file, the surroundings it asks for on loopback sockets, real
 * routers between them and seeded clients, the faults at their times, and at the end the account
 * judged rule by rule.
 */
package beaconturn.rehearsal;
