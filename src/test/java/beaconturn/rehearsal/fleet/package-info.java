/** Tests of links with faults between two parties on loopback. */
package beaconturn.rehearsal.fleet;
