/** The command line, its subcommands, and logging. */
package beaconturn.cli;
