/** Tests of what a process counts of its own work. */
package beaconturn.stats;
