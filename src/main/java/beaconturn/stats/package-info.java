/**
 * The metrics that one process keeps of its own work. Counters are written where the thing happens,
 * by any thread and without a lock, and read by whatever shows or exports them; nothing here does
 * I/O.
 */
package beaconturn.stats;
