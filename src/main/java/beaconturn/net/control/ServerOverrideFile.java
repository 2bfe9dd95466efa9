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
 * The file of operator overrides: kept for the next process of this router, and followed by the one
 * beside it. Written to a new file that is renamed, under a lock. A file that cannot be written
 * costs only that: the override itself holds in this process. For one thread after the first
 * reading.
 */
public final class ServerOverrideFile {
  private static final Logger LOG = Logger.getLogger(ServerOverrideFile.class.getName());
  private static final int LARGEST_BYTES = 256 * 1024;
  private static final long FOLLOW_INTERVAL_NANOS = 100_000_000;

  /**
   * A server that came back so long ago is not warming up any more by any settings known; its line
   * is left out.
   */
  private static final long FORGET_BACK_MILLIS = 600_000;

  /** Null where nothing outlives the process. */
  private final Path file;

  private final boolean shared;

  /** What was said last of each cache server, by its id, in the order of its first being said. */
  private final Map<String, ServerOverride> overrides = new LinkedHashMap<>();

  /** The overrides that this process has applied, by the cache server's id. */
  private final Map<String, ServerOverride> applied = new HashMap<>();

  /** Tells the file that was read or written last from others; null for none. */
  private Object lastFileMark;

  private long nextFollowNanos;

  /**
   * Nothing is read yet.
   *
   * @param file null where nothing outlives the process
   * @param shared whether another process may write it too
   */
  public ServerOverrideFile(Path file, boolean shared) {
    this.file = file;
    this.shared = shared;
  }

  /**
   * All that is known, in the order of its first being said; a damaged file counts as far as it is
   * sound.
   */
  public List<ServerOverride> read() {
    load();
    applied.putAll(overrides);
    return List.copyOf(overrides.values());
  }

  /** Notes an override that this process applied, beside what another one has noted meanwhile. */
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
      LOG.warning("what operators said of cache servers is not kept for the next process: " + e);
    }
  }

  /**
   * Reads, changes and writes the file under a lock of its own file: of two processes that wrote at
   * once, one would lose what its operators said.
   */
  private void write(ServerOverride override) throws IOException {
    Path lock = file.resolveSibling(file.getFileName() + ".lock");
    try (FileChannel channel =
            FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held = channel.lock()) {
      load();
      overrides.put(override.id(), override);
      overrides.values().removeIf(other -> isForgotten(other, override.atMillis()));
      Path aside = file.resolveSibling(file.getFileName() + ".new");
      Files.write(aside, ServerOverrideCodec.encode(overrides.values()), StandardCharsets.UTF_8);
      Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE);
      lastFileMark = fileMark();
      LOG.finer("kept under " + held);
    }
  }

  private static boolean isForgotten(ServerOverride override, long nowMillis) {
    return !override.excluded() && nowMillis - override.atMillis() > FORGET_BACK_MILLIS;
  }

  /** What another process has noted since the last look; looks now and then only. */
  List<ServerOverride> changes(long nowNanos) {
    if (!shared || file == null || nowNanos < nextFollowNanos) {
      return List.of();
    }
    nextFollowNanos = nowNanos + FOLLOW_INTERVAL_NANOS;
    Object mark = fileMark();
    if (mark != null && !mark.equals(lastFileMark)) {
      load();
    }
    List<ServerOverride> changed =
        overrides.values().stream()
            .filter(override -> !override.equals(applied.get(override.id())))
            .toList();
    changed.forEach(override -> applied.put(override.id(), override));
    return changed;
  }

  /** Each writing makes a new file, which its key tells even where times are coarse. */
  private Object fileMark() {
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
      lastFileMark = fileMark();
      if (Files.size(file) > LARGEST_BYTES) {
        throw new IOException("larger than " + LARGEST_BYTES + " bytes");
      }
      List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
      ServerOverrideCodec.decode(lines, file.toString()).forEach(this::merge);
    } catch (IOException e) {
      LOG.warning(file + ": not followed: " + e.getMessage());
    }
  }

  /** What was said later holds. */
  private void merge(ServerOverride override) {
    ServerOverride before = overrides.get(override.id());
    if (before == null || before.atMillis() <= override.atMillis()) {
      overrides.put(override.id(), override);
    }
  }
}
