/** Tests of the command line. */
package beaconturn.cli;
