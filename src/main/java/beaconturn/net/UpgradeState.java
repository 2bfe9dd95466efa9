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
 * The file in which a process of a router stores its warm-start state for the next process during
 * an upgrade. Written to a temporary file that is renamed. Format version 2, big-endian: the magic
 * number {@code BTLEARN2}, a checksum of all that follows (CRC-32C in 8 bytes), the machine's
 * monotonic time in milliseconds, and six doubles. A truncated or damaged file is ignored as a
 * whole: wrong values could make the router reject requests that it can serve.
 */
final class UpgradeState {
  private static final Logger LOG = Logger.getLogger(UpgradeState.class.getName());

  /** {@code BTLEARN2} in ASCII. */
  private static final long MAGIC = 0x42544c4541524e32L;

  private static final int VALUE_COUNT = 6;
  private static final int CHECKSUM_OFFSET_BYTES = Long.BYTES;
  private static final int CHECKED_OFFSET_BYTES = 2 * Long.BYTES;
  private static final int FILE_BYTES = 3 * Long.BYTES + VALUE_COUNT * Double.BYTES;

  /** Age above which a file belongs to an earlier upgrade and is ignored. */
  private static final long MAX_AGE_MILLIS = 10_000;

  private final Path file;

  UpgradeState(Path file) {
    this.file = file;
  }

  /** Stores the state, with a time of {@link beaconturn.net.control.MonotonicMillis}. */
  void write(WarmStartState state, long nowMillis) {
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.write(temporaryFile, encode(state, nowMillis));
      Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      LOG.warning("storing the warm-start state for the next process failed: " + e);
    }
  }

  private static byte[] encode(WarmStartState state, long nowMillis) {
    ByteBuffer out = ByteBuffer.allocate(FILE_BYTES);
    out.putLong(MAGIC)
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

  private static long checksum(byte[] fileBytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(fileBytes, CHECKED_OFFSET_BYTES, fileBytes.length - CHECKED_OFFSET_BYTES);
    return checksum.getValue();
  }

  /** Reads the state that another process stored recently, or returns null. */
  WarmStartState read(long nowMillis) {
    try {
      if (Files.size(file) != FILE_BYTES) {
        throw new IOException("file length is not " + FILE_BYTES + " bytes");
      }
      return decode(Files.readAllBytes(file), nowMillis);
    } catch (NoSuchFileException e) {
      return null;
    } catch (IOException e) {
      LOG.warning(file + ": warm-start state ignored: " + e);
      return null;
    }
  }

  /** Returns null if the file is too old. */
  private static WarmStartState decode(byte[] fileBytes, long nowMillis) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(fileBytes);
    if (in.getLong() != MAGIC || in.getLong() != checksum(fileBytes)) {
      throw new IOException("unknown format or wrong checksum");
    }
    if (Math.abs(nowMillis - in.getLong()) > MAX_AGE_MILLIS) {
      return null;
    }
    // Java evaluates arguments from left to right, which is the order of the fields in the file.
    WarmStartState state =
        new WarmStartState(
            in.getDouble(),
            in.getDouble(),
            in.getDouble(),
            in.getDouble(),
            in.getDouble(),
            in.getDouble());
    if (!state.isValid()) {
      throw new IOException("values out of range");
    }
    return state;
  }
}
