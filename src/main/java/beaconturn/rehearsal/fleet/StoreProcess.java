package beaconturn.rehearsal.fleet;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.io.RandomAccessFile;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The coordination store's stand-in as a process, which ends with the kit: its input is the kit's.
 */
public final class StoreProcess implements Closeable {
  private static final int END_SECONDS = 3;
  private static final int PARTS = 4;
  private final Process process;
  private final PrintStream orders;
  private final BufferedReader answers;
  private final InetSocketAddress address;
  private final Path log;
  private long read;

  /** A change of the store: when, by the monotonic time that all processes of a machine share. */
  public record StoreChange(long nanoTime, long revision, String key, String value) {}

  /** Starts it with the command line given; its changes go to the file. */
  public StoreProcess(List<String> command, Path log) throws IOException {
    this.log = log;
    this.process =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    this.orders = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
    this.answers = process.inputReader(StandardCharsets.UTF_8);
    String first = answers.readLine();
    if (first == null || !first.startsWith("store at ")) {
      process.destroyForcibly();
      throw new IOException("the store's stand-in did not start: " + first);
    }
    this.address =
        new InetSocketAddress(
            "127.0.0.1", Integer.parseInt(first.substring(first.indexOf(':') + 1)));
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Has it carry out one line; what it says. */
  public synchronized String execute(String line) throws IOException {
    orders.println(line);
    return answers.readLine();
  }

  /**
   * The changes since the last call, in their order; of a line that is still being written later.
   */
  public synchronized List<StoreChange> readChanges() throws IOException {
    List<StoreChange> all = new ArrayList<>();
    try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
      byte[] bytes = new byte[(int) (file.length() - read)];
      file.seek(read);
      file.readFully(bytes);
      int end = bytes.length;
      while (end > 0 && bytes[end - 1] != '\n') {
        end--;
      }
      read += end;
      for (String line : new String(bytes, 0, end, StandardCharsets.UTF_8).lines().toList()) {
        String[] parts = line.split(" ", PARTS);
        all.add(
            new StoreChange(
                Long.parseLong(parts[0]),
                Long.parseLong(parts[1]),
                parts[2],
                parts.length < PARTS ? null : parts[PARTS - 1]));
      }
    }
    return all;
  }

  @Override
  public void close() {
    orders.println("quit");
    try {
      if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
