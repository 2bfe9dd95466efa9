package beaconturn.net;

import beaconturn.decision.WarmStartState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.logging.Logger;
import java.util.zip.CRC32C;

/**
 * The file in which one process of a router leaves its warm-start state to the next in an upgrade;
 * written to a new file that is renamed. Version 2, big-endian: the mark {@code BTLEARN2}, a
 * checksum of all that follows it (CRC-32C in 8 bytes), the machine's monotonic time in
 * milliseconds, and six doubles. A file that is torn or damaged is ignored as a whole: a router
 * that began with figures of one could reject what it can serve.
 */
final class UpgradeState {
  private static final Logger LOG = Logger.getLogger(UpgradeState.class.getName());

  /** {@code BTLEARN2} in ASCII. */
  private static final long MARK = 0x42544c4541524e32L;

  private static final int FIGURE_COUNT = 6;
  private static final int CHECKSUM_OFFSET_BYTES = Long.BYTES;
  private static final int CHECKED_OFFSET_BYTES = 2 * Long.BYTES;
  private static final int FILE_BYTES = 3 * Long.BYTES + FIGURE_COUNT * Double.BYTES;

  /** A file older than this is of an upgrade long past, and is ignored. */
  private static final long LONGEST_AGE_MILLIS = 10_000;

  private final Path file;

  UpgradeState(Path file) {
    this.file = file;
  }

  /** Leaves the state as it is at this time of {@link beaconturn.net.control.MonotonicMillis}. */
  void write(WarmStartState state, long nowMillis) {
    Path aside = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.write(aside, encode(state, nowMillis));
      Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      LOG.warning("nothing is left to the next process: " + e);
    }
  }

  private static byte[] encode(WarmStartState state, long nowMillis) {
    ByteBuffer out = ByteBuffer.allocate(FILE_BYTES);
    out.putLong(MARK)
        .putLong(0)
        .putLong(nowMillis)
        .putDouble(state.responsesPerNano())
        .putDouble(state.peakResponsesPerNano())
        .putDouble(state.responseTimeNanos())
        .putDouble(state.fetchTimeNanos())
        .putDouble(state.cacheLimit())
        .putDouble(state.originLimit());
    out.putLong(CHECKSUM_OFFSET_BYTES, checksum(out.array()));
    return out.array();
  }

  private static long checksum(byte[] whole) {
    CRC32C checksum = new CRC32C();
    checksum.update(whole, CHECKED_OFFSET_BYTES, whole.length - CHECKED_OFFSET_BYTES);
    return checksum.getValue();
  }

  /** What another process left lately, or null. */
  WarmStartState read(long nowMillis) {
    try {
      if (Files.size(file) != FILE_BYTES) {
        throw new IOException("of another length");
      }
      return decode(Files.readAllBytes(file), nowMillis);
    } catch (NoSuchFileException e) {
      return null;
    } catch (IOException e) {
      LOG.warning(file + ": not followed: " + e);
      return null;
    }
  }

  /** Null if the file is too old. */
  private static WarmStartState decode(byte[] whole, long nowMillis) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(whole);
    if (in.getLong() != MARK || in.getLong() != checksum(whole)) {
      throw new IOException("of another form, or damaged");
    }
    if (Math.abs(nowMillis - in.getLong()) > LONGEST_AGE_MILLIS) {
      return null;
    }
    // Java evaluates arguments from left to right, in the order in which they were written.
    WarmStartState state =
        new WarmStartState(
            in.getDouble(),
            in.getDouble(),
            in.getDouble(),
            in.getDouble(),
            in.getDouble(),
            in.getDouble());
    if (!state.isValid()) {
      throw new IOException("figures that no router has");
    }
    return state;
  }
}
