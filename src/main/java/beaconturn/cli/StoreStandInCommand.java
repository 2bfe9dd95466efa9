package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Parses the {@code store-stand-in} command. Refers only to {@link StoreStandInRunner}, so that
 * other commands load no classes of the test kit.
 */
@Parameters(
    commandNames = "store-stand-in",
    commandDescription =
        "run a stand-in of the coordination store on"
            + " loopback, for trials of the agreement; lines on standard input make it"
            + " fail; it keeps nothing;"
            + " example: store-stand-in --port 2379, then: slow 3000")
final class StoreStandInCommand implements Command {
  @Parameter(names = "--port", description = "where it listens, on loopback; 0 takes a free one")
  private int port = 2379;

  @Parameter(
      names = "--log",
      description = "a file that tells every change: time, revision, key and value")
  private String logFile;

  @Override
  public int execute() {
    return new StoreStandInRunner(port, logFile).run();
  }
}
