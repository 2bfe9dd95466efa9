/** The adapter that hosts routing policies on the simulator's wire; it decides nothing. */
package beaconturn.sim;
