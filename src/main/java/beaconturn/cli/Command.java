package beaconturn.cli;

/** A subcommand of the command line. */
interface Command {
  /** Executes the command and returns the exit status. */
  int execute();
}
