/**
 * What one process counts of its own work. Counts are written where the thing happens, by any
 * thread and without a lock, and read by whatever shows or exports them; nothing here does I/O.
 */
package beaconturn.stats;
