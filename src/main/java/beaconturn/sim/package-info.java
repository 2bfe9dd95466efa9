/** Adapter that hosts routing policies for the simulator; makes no decisions itself. */
package beaconturn.sim;
