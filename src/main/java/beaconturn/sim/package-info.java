/** The adapter that hosts decision modules on the simulator's wire; it decides nothing. */
package beaconturn.sim;
