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
 * The coordination store's stand-in as a process. It reads commands from a pipe and ends with the
 * rehearsal, when the pipe is closed.
 */
public final class StoreProcess implements Closeable {
  private static final int STOP_TIMEOUT_SECONDS = 3;
  private static final int FIELDS = 4;
  private final Process process;
  private final PrintStream commands;
  private final BufferedReader replies;
  private final InetSocketAddress address;
  private final Path log;
  private long readBytes;

  /** A change of a key, at a {@link System#nanoTime} value; {@code value} is null for a removal. */
  public record StoreChange(long nanoTime, long revision, String key, String value) {}

  /**
   * Starts the process.
   *
   * @param log the file to which the command line makes the process log its changes
   */
  public StoreProcess(List<String> command, Path log) throws IOException {
    this.log = log;
    this.process =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    this.commands = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
    this.replies = process.inputReader(StandardCharsets.UTF_8);
    String firstLine = replies.readLine();
    if (firstLine == null || !firstLine.startsWith("store at ")) {
      process.destroyForcibly();
      throw new IOException(
          "the stand-in of the coordination store did not start, first line of output: "
              + firstLine);
    }
    this.address =
        new InetSocketAddress(
            "127.0.0.1", Integer.parseInt(firstLine.substring(firstLine.indexOf(':') + 1)));
  }

  /** Returns the address on which the store listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Executes a command of the stand-in and returns its reply, one line. */
  public synchronized String execute(String line) throws IOException {
    commands.println(line);
    return replies.readLine();
  }

  /** Reads the changes since the last call, in order; an incomplete last line is left for later. */
  public synchronized List<StoreChange> readChanges() throws IOException {
    List<StoreChange> changes = new ArrayList<>();
    try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
      byte[] bytes = new byte[(int) (file.length() - readBytes)];
      file.seek(readBytes);
      file.readFully(bytes);
      int end = bytes.length;
      while (end > 0 && bytes[end - 1] != '\n') {
        end--;
      }
      readBytes += end;
      for (String line : new String(bytes, 0, end, StandardCharsets.UTF_8).lines().toList()) {
        String[] fields = line.split(" ", FIELDS);
        changes.add(
            new StoreChange(
                Long.parseLong(fields[0]),
                Long.parseLong(fields[1]),
                fields[2],
                fields.length < FIELDS ? null : fields[FIELDS - 1]));
      }
    }
    return changes;
  }

  @Override
  public void close() {
    commands.println("quit");
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
