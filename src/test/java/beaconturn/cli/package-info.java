/** Tests of the command line and logging. */
package beaconturn.cli;
