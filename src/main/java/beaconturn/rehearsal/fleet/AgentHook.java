package beaconturn.rehearsal.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * What agents under rehearsal are given as their command: a shell script that lays a wish into a
 * folder and waits until the kit has carried it out, as only the kit can start and stop its
 * routers.
 */
public final class AgentHook {
  private static final int NAME_FIELDS = 3;
  private final Path wishes;
  private final Path done;
  private final Path script;

  /**
   * A wish: the part, whether it is to run what is released, and the name under which it is
   * answered.
   */
  public record RestartRequest(String part, boolean released, String name) {}

  /** A hand whose folder lies below. */
  public AgentHook(Path folder) throws IOException {
    wishes = Files.createDirectories(folder.resolve("wishes"));
    done = Files.createDirectories(folder.resolve("done"));
    script = folder.resolve("hand.sh");
    Files.writeString(
        script,
        "#!/bin/sh\n# Lays a wish and waits until the kit has carried it out.\n"
            + "wish=\"$PART+$VARIANT+$$\"\n: > '"
            + wishes
            + "'/\"$wish\"\n"
            // Whoever is to answer may be gone, and the folder with it.
            + "while [ ! -s '"
            + done
            + "'/\"$wish\" ]; do [ -d '"
            + done
            + "' ] || exit 1; sleep 0.05; done\n"
            + "exit \"$(cat '"
            + done
            + "'/\"$wish\")\"\n");
  }

  /** The command for agents. */
  public String command() {
    return "sh '" + script + "'";
  }

  /** Wishes that were not taken yet. */
  public List<RestartRequest> takeRequests() throws IOException {
    List<RestartRequest> all = new ArrayList<>();
    try (Stream<Path> files = Files.list(wishes)) {
      for (Path file : files.sorted().toList()) {
        String name = file.getFileName().toString();
        String[] parts = name.split("\\+", NAME_FIELDS);
        all.add(new RestartRequest(parts[0], parts[1].equals("new"), name));
        Files.delete(file);
      }
    }
    return all;
  }

  /** Answers a wish: whether the router is ready. */
  public void complete(RestartRequest wish, boolean ready) throws IOException {
    Path aside = done.resolve(wish.name() + ".tmp");
    Files.writeString(aside, ready ? "0" : "1");
    Files.move(aside, done.resolve(wish.name()), StandardCopyOption.ATOMIC_MOVE);
  }
}
