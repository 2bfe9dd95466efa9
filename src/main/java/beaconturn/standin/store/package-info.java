/**
 * Model of the coordination store, after etcd's published API: keys with revisions, transactions
 * with conditions, leases, and the failures of lagging, being emptied and being restored from an
 * older copy. No I/O; the only clock is that of the {@link beaconturn.standin.EventScheduler}.
 */
package beaconturn.standin.store;
