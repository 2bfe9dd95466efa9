/**
 * The model of the coordination store, as etcd's published API describes it: keys with revisions,
 * swaps with conditions, leases, and what it does when it lags, is emptied or is put back to an
 * older copy. No I/O and no clock but the agenda.
 */
package beaconturn.standin.store;
