package beaconturn.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/** Entry point of the command line: parses the arguments and executes the chosen subcommand. */
public final class Main {
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Executes the subcommand; the exit status is 2 on wrong usage. */
  public static void main(String[] args) {
    int status = run(args);
    if (status != 0) {
      System.exit(status);
    }
  }

  static int run(String... args) {
    JCommander commands =
        JCommander.newBuilder()
            .programName("beaconturn")
            .addCommand(new ServeCommand())
            .addCommand(new CheckConfigCommand())
            .addCommand(new RehearseCommand())
            .addCommand(new StandInCommand())
            .addCommand(new AgreementCommand())
            .addCommand(new StoreStandInCommand())
            .addCommand(new ReleaseCommand())
            .addCommand(new ZonesCommand())
            .addCommand(new SimHostCommand())
            .addCommand(new VersionCommand())
            .build();
    if (args.length > 0 && args[args.length - 1].equals("--help")) {
      return printHelp(commands, args[0]);
    }
    try {
      commands.parse(args);
    } catch (ParameterException e) {
      return usageError(commands, e.getMessage());
    }
    if (commands.getParsedCommand() == null) {
      return usageError(commands, "no command given");
    }
    Object command = commands.getCommands().get(commands.getParsedCommand()).getObjects().get(0);
    return ((Command) command).execute();
  }

  /** Prints the usage of the named command, or of all commands if there is none of that name. */
  private static int printHelp(JCommander commands, String commandName) {
    StringBuilder usage = new StringBuilder();
    if (commands.getCommands().containsKey(commandName)) {
      commands.getUsageFormatter().usage(commandName, usage);
    } else {
      commands.getUsageFormatter().usage(usage);
    }
    System.out.print(usage);
    return 0;
  }

  private static int usageError(JCommander commands, String message) {
    System.err.println("beaconturn: " + message);
    StringBuilder usage = new StringBuilder();
    commands.getUsageFormatter().usage(usage);
    System.err.print(usage);
    return EXIT_USAGE;
  }
}
