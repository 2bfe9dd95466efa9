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

/** Runs the store's stand-in until its input ends or says quit. */
record StoreStandInRunner(int port, String log) {
  private static final int WRONG_INPUT = 1;
  private static final long FIRST_CLUSTER = 1000;

  int run() {
    Clock clock = Clock.system();
    try (PrintWriter changes =
        log == null ? null : new PrintWriter(Files.newBufferedWriter(Path.of(log)), true)) {
      StoreModel.ChangeListener watcher =
          (at, revision, key, value) -> {
            if (changes != null) {
              // Monotonic time, which all processes of a machine read alike.
              changes.println(
                  System.nanoTime()
                      + " "
                      + revision
                      + " "
                      + key
                      + (value == null ? "" : " " + value));
            }
          };
      try (StoreServer front = new StoreServer(port, FIRST_CLUSTER, clock::now, watcher)) {
        front.start();
        System.out.println("store at 127.0.0.1:" + front.address().getPort());
        BufferedReader in =
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        String line = in.readLine();
        while (line != null && !line.equals("quit")) {
          System.out.println(front.run(line));
          line = in.readLine();
        }
      }
      return 0;
    } catch (IOException e) {
      System.err.println("store-stand-in: " + e.getMessage());
      return WRONG_INPUT;
    }
  }
}
