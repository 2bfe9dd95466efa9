package beaconturn.cli;

import beaconturn.core.Clock;
import beaconturn.standin.net.StoreServer;
import beaconturn.standin.store.StoreModel;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs a stand-in of the coordination store until standard input ends or contains {@code quit}.
 *
 * @param port port on loopback; 0 takes a free one
 * @param logFile where each change is logged, or null
 */
record StoreStandInRunner(int port, String logFile) {
  private static final int EXIT_ERROR = 1;
  private static final long FIRST_CLUSTER_ID = 1000;

  int run() {
    Clock clock = Clock.system();
    try (PrintWriter changeLog =
        logFile == null ? null : new PrintWriter(Files.newBufferedWriter(Path.of(logFile)), true)) {
      StoreModel.ChangeListener changeListener =
          (at, revision, key, value) -> {
            if (changeLog != null) {
              // Monotonic time, which is comparable between processes of the machine.
              changeLog.println(
                  System.nanoTime()
                      + " "
                      + revision
                      + " "
                      + key
                      + (value == null ? "" : " " + value));
            }
          };
      try (StoreServer server =
          new StoreServer(port, FIRST_CLUSTER_ID, clock::now, changeListener)) {
        server.start();
        System.out.println("store at 127.0.0.1:" + server.address().getPort());
        BufferedReader in =
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String line = in.readLine();
        while (line != null && !line.equals("quit")) {
          System.out.println(server.run(line));
          line = in.readLine();
        }
      }
      return 0;
    } catch (IOException e) {
      System.err.println("store-stand-in: " + e.getMessage());
      return EXIT_ERROR;
    }
  }
}
