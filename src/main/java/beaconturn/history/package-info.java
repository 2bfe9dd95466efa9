/**
 * The history of a rehearsal as all parties saw it, and the invariants that it is checked against.
 * Knows nothing of how routers decide: only what clients, stand-ins and the store have observed.
 */
package beaconturn.history;
