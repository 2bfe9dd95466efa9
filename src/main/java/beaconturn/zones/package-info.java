/**
 * Which places serve whose keys, decided in common: what routers see of each place is pooled, one
 * of them that holds an office decides, and each router follows on a lease. No I/O; driven by one
 * thread on a clock that is handed in. It guarantees that what all sources may send to a place
 * together is never more than was allotted of it, whoever is cut off, paused or replaced.
 */
package beaconturn.zones;
