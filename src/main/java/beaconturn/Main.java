package beaconturn;

import beaconturn.sim.SimHost;
import beaconturn.sim.WireException;
import java.io.IOException;

/** The command line: one word chooses what runs. */
public final class Main {
    private static final String USAGE = "usage: java -jar beaconturn.jar simhost\n"
        + "  simhost   hosts decision modules on the simulator's wire (standard input and output)";

    private Main() {
    }

    /** Runs the command named by the first argument; wrong usage exits with 2. */
    public static void main(String[] args) {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(String[] args) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println(USAGE);
            return 2;
        }
        try {
            new SimHost(System.in, System.out).run();
            return 0;
        } catch (WireException | IOException e) {
            System.err.println("simhost: " + e.getMessage());
            return 1;
        }
    }
}
