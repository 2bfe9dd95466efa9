/** The command line and the log. */
package beaconturn.cli;
