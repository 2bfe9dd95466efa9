/** Tests of the sim package. */
package beaconturn.sim;
