/**
 * The metrics of one process. Counters are updated where the event occurs, by any thread and
 * without a lock, and read by exporters. No I/O.
 */
package beaconturn.stats;
