package beaconturn.cli;

import com.beust.jcommander.Parameters;

/** Prints the version of the program. */
@Parameters(commandNames = "version", commandDescription = "print the version")
final class VersionCommand implements Command {
  @Override
  public int execute() {
    String version = VersionCommand.class.getPackage().getImplementationVersion();
    System.out.println("beaconturn " + (version == null ? "(not from a jar)" : version));
    return 0;
  }
}
