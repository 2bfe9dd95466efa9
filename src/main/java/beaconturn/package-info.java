/** The command line of beaconturn. */
package beaconturn;
