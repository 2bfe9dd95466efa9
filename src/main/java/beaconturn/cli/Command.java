package beaconturn.cli;

/** One sub-command of the command line. */
interface Command {
  /** Runs to the end and returns the exit status. */
  int execute();
}
