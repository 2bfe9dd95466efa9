package beaconturn.rehearsal.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * The command that agents under rehearsal run to restart an instance: a shell script that creates a
 * request file and waits for the result file, as only the rehearsal can start and stop its routers.
 */
public final class AgentHook {
  private static final int NAME_FIELDS = 3;
  private final Path requestFolder;
  private final Path resultFolder;
  private final Path script;

  /**
   * An agent's request to restart an instance.
   *
   * @param instance the router or cache server
   * @param released whether it is to run the released variant instead of the previous one
   * @param name the name of the request's and of the result's file
   */
  public record RestartRequest(String instance, boolean released, String name) {}

  /** Writes the script and creates the folders for requests and results below the folder. */
  public AgentHook(Path folder) throws IOException {
    requestFolder = Files.createDirectories(folder.resolve("wishes"));
    resultFolder = Files.createDirectories(folder.resolve("done"));
    script = folder.resolve("hand.sh");
    Files.writeString(
        script,
        "#!/bin/sh\n# Requests a restart and waits until the rehearsal has carried it out.\n"
            + "wish=\"$PART+$VARIANT+$$\"\n: > '"
            + requestFolder
            + "'/\"$wish\"\n"
            // The rehearsal may have ended and removed the folder.
            + "while [ ! -s '"
            + resultFolder
            + "'/\"$wish\" ]; do [ -d '"
            + resultFolder
            + "' ] || exit 1; sleep 0.05; done\n"
            + "exit \"$(cat '"
            + resultFolder
            + "'/\"$wish\")\"\n");
  }

  /** Returns the shell command for agents. */
  public String command() {
    return "sh '" + script + "'";
  }

  /** Returns the requests since the last call, in the order of their names. */
  public List<RestartRequest> takeRequests() throws IOException {
    List<RestartRequest> requests = new ArrayList<>();
    try (Stream<Path> files = Files.list(requestFolder)) {
      for (Path file : files.sorted().toList()) {
        String name = file.getFileName().toString();
        String[] fields = name.split("\\+", NAME_FIELDS);
        requests.add(new RestartRequest(fields[0], fields[1].equals("new"), name));
        Files.delete(file);
      }
    }
    return requests;
  }

  /** Writes the result of a request: whether the instance is ready. */
  public void complete(RestartRequest request, boolean ready) throws IOException {
    Path temporaryFile = resultFolder.resolve(request.name() + ".tmp");
    Files.writeString(temporaryFile, ready ? "0" : "1");
    Files.move(temporaryFile, resultFolder.resolve(request.name()), StandardCopyOption.ATOMIC_MOVE);
  }
}
