/**
 * Records the history of a rehearsal and checks invariants against it. The invariants use only what
 * clients, stand-ins and the store observe, not the internal state of routers.
 */
package beaconturn.history;
