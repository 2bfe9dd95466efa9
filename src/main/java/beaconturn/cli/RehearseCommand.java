package beaconturn.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * The options of a rehearsal. It names no class of the kit but the one that runs it, so that other commands
 * load none of them.
 */
@Parameters(commandNames = "rehearse", commandDescription = "play a scenario against routers on loopback;"
    + " example: rehearse examples/rehearsals/stall.toml --seed 3;"
    + " status 0: all rules held, 3: one was broken, 1: it could not be played")
final class RehearseCommand implements Command {
    @Parameter(description = "SCENARIO.toml")
    private List<String> scenarios = new ArrayList<>();
    @Parameter(names = "--seed", description = "the seed of all chance, in place of the scenario's own")
    private Long seed;
    @Parameter(names = "--router", description = "a jar whose routers are rehearsed, or 'embedded' for"
        + " routers inside this process (no router faults then); this program's own where not given")
    private String router;
    @Parameter(names = "--json", description = "a file for the report as JSON")
    private String json;
    @Parameter(names = "--keep-logs", description = "a folder for the routers' configurations and logs")
    private String logs;
    @Parameter(names = "--explain", description = "print the whole scenario with its defaults, play nothing")
    private boolean explain;
    @Parameter(names = "--list", description = "name the scenarios under examples/rehearsals")
    private boolean list;

    @Override
    public int execute() {
        if (!list && scenarios.size() != 1) {
            System.err.println("rehearse: name one scenario, or --list");
            return 2;
        }
        return new RehearseRun(list ? null : scenarios.get(0), seed, router, json, logs, explain).run();
    }
}
