package beaconturn.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

/** The command line: a sub-command chooses what runs. */
public final class Main {
  private static final int WRONG_USAGE = 2;

  private Main() {}

  /** Runs the sub-command; wrong usage exits with 2. */
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
      return help(commands, args[0]);
    }
    try {
      commands.parse(args);
    } catch (ParameterException e) {
      return wrong(commands, e.getMessage());
    }
    if (commands.getParsedCommand() == null) {
      return wrong(commands, "no command given");
    }
    Object chosen = commands.getCommands().get(commands.getParsedCommand()).getObjects().get(0);
    return ((Command) chosen).execute();
  }

  /** The options of one command, or of all where the word names none. */
  private static int help(JCommander commands, String word) {
    StringBuilder usage = new StringBuilder();
    if (commands.getCommands().containsKey(word)) {
      commands.getUsageFormatter().usage(word, usage);
    } else {
      commands.getUsageFormatter().usage(usage);
    }
    System.out.print(usage);
    return 0;
  }

  private static int wrong(JCommander commands, String message) {
    System.err.println("beaconturn: " + message);
    StringBuilder usage = new StringBuilder();
    commands.getUsageFormatter().usage(usage);
    System.err.print(usage);
    return WRONG_USAGE;
  }
}
