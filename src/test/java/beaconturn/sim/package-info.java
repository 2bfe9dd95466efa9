/** Tests of the simulator adapter. */
package beaconturn.sim;
