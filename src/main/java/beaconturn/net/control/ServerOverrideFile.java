package beaconturn.net.control;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * Persists operator overrides for the next process of this router, and shares them with a process
 * that runs at the same time. The file is replaced atomically under a lock. If it cannot be
 * written, the override still applies in this process. Confined to one thread after the first
 * {@link #read}.
 */
public final class ServerOverrideFile {
  private static final Logger LOG = Logger.getLogger(ServerOverrideFile.class.getName());
  private static final int MAX_FILE_BYTES = 256 * 1024;
  private static final long POLL_INTERVAL_NANOS = 100_000_000;

  /** Longer than any slow start, after which the override of an included server has no effect. */
  private static final long INCLUDED_RETENTION_MILLIS = 600_000;

  /** Null if overrides are not persisted. */
  private final Path file;

  private final boolean shared;

  /** The latest override of each cache server by id, in the order of their first overrides. */
  private final Map<String, ServerOverride> overrides = new LinkedHashMap<>();

  /** The overrides that this process has applied, by cache server id. */
  private final Map<String, ServerOverride> applied = new HashMap<>();

  /** Identifies the file contents that were read or written last; null if there are none. */
  private Object lastFileState;

  private long nextPollNanos;

  /**
   * Creates the store without reading the file.
   *
   * @param file null if overrides are not persisted
   * @param shared whether another process may write the file too
   */
  public ServerOverrideFile(Path file, boolean shared) {
    this.file = file;
    this.shared = shared;
  }

  /** Reads all overrides, in the order of their first occurrence. Invalid lines are skipped. */
  public List<ServerOverride> read() {
    load();
    applied.putAll(overrides);
    return List.copyOf(overrides.values());
  }

  /** Stores an override that this process has applied, and merges those of other processes. */
  void put(ServerOverride override) {
    applied.put(override.id(), override);
    if (file == null) {
      overrides.put(override.id(), override);
      return;
    }
    try {
      write(override);
    } catch (IOException e) {
      overrides.put(override.id(), override);
      LOG.warning("operator override cannot be persisted for the next process: " + e);
    }
  }

  /**
   * Reads, updates and replaces the file under a lock file, so that concurrent writes by two
   * processes lose no override.
   */
  private void write(ServerOverride override) throws IOException {
    Path lock = file.resolveSibling(file.getFileName() + ".lock");
    try (FileChannel channel =
            FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held = channel.lock()) {
      load();
      overrides.put(override.id(), override);
      overrides.values().removeIf(other -> isExpired(other, override.atMillis()));
      Path temporary = file.resolveSibling(file.getFileName() + ".new");
      Files.write(
          temporary, ServerOverrideCodec.encode(overrides.values()), StandardCharsets.UTF_8);
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
      lastFileState = fileState();
      LOG.finer("overrides written under lock " + held);
    }
  }

  private static boolean isExpired(ServerOverride override, long nowMillis) {
    return !override.excluded() && nowMillis - override.atMillis() > INCLUDED_RETENTION_MILLIS;
  }

  /** Returns overrides that other processes have stored; reads at most once per poll interval. */
  List<ServerOverride> pollChanges(long nowNanos) {
    if (!shared || file == null || nowNanos < nextPollNanos) {
      return List.of();
    }
    nextPollNanos = nowNanos + POLL_INTERVAL_NANOS;
    Object state = fileState();
    if (state != null && !state.equals(lastFileState)) {
      load();
    }
    List<ServerOverride> changed =
        overrides.values().stream()
            .filter(override -> !override.equals(applied.get(override.id())))
            .toList();
    changed.forEach(override -> applied.put(override.id(), override));
    return changed;
  }

  /** Includes the file key, as each write creates a new file and file times may be coarse. */
  private Object fileState() {
    try {
      Map<String, Object> attributes = Files.readAttributes(file, "lastModifiedTime,fileKey,size");
      return List.copyOf(attributes.values());
    } catch (IOException e) {
      return null;
    }
  }

  private void load() {
    if (file == null || !Files.exists(file)) {
      return;
    }
    try {
      lastFileState = fileState();
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new IOException("larger than " + MAX_FILE_BYTES + " bytes");
      }
      List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
      ServerOverrideCodec.decode(lines, file.toString()).forEach(this::merge);
    } catch (IOException e) {
      LOG.warning(file + ": ignoring the override file: " + e.getMessage());
    }
  }

  /** Keeps the later override. */
  private void merge(ServerOverride override) {
    ServerOverride before = overrides.get(override.id());
    if (before == null || before.atMillis() <= override.atMillis()) {
      overrides.put(override.id(), override);
    }
  }
}
