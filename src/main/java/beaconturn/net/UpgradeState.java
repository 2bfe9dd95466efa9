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
 * What one process of a router leaves to the next in an upgrade, written aside and renamed. Version
 * 2, big-endian: the mark {@code BTLEARN2}, a checksum of all that follows it (CRC-32C in 8 bytes),
 * the machine's monotonic time in milliseconds, and six doubles. It is followed whole or not at
 * all.
 */
final class UpgradeState {
  private static final Logger LOG = Logger.getLogger(UpgradeState.class.getName());
  private static final long MARK = 0x42544c4541524e32L;
  private static final int FIGURES = 6;
  private static final int LENGTH = 3 * Long.BYTES + FIGURES * Double.BYTES;
  private static final int CHECKED_FROM = 2 * Long.BYTES;

  /** An older one is that of an upgrade long past. */
  private static final long FRESH_MILLIS = 10_000;

  private final Path file;

  UpgradeState(Path file) {
    this.file = file;
  }

  /** Leaves the figures as they are at this time of the machine. */
  void write(WarmStartState l, long nowMillis) {
    ByteBuffer out = ByteBuffer.allocate(LENGTH);
    out.putLong(MARK)
        .putLong(0)
        .putLong(nowMillis)
        .putDouble(l.answers())
        .putDouble(l.peak())
        .putDouble(l.answerTime())
        .putDouble(l.fetchTime())
        .putDouble(l.limit())
        .putDouble(l.originLimit());
    out.putLong(Long.BYTES, checksum(out.array()));
    Path aside = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.write(aside, out.array());
      Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      LOG.warning("nothing is left to the next process: " + e);
    }
  }

  private static long checksum(byte[] all) {
    CRC32C sum = new CRC32C();
    sum.update(all, CHECKED_FROM, all.length - CHECKED_FROM);
    return sum.getValue();
  }

  /** What another process left lately, or null. */
  WarmStartState read(long nowMillis) {
    try {
      if (Files.size(file) != LENGTH) {
        throw new IOException("of another length");
      }
      return parse(Files.readAllBytes(file), nowMillis);
    } catch (NoSuchFileException e) {
      return null;
    } catch (IOException e) {
      LOG.warning(file + ": not followed: " + e);
      return null;
    }
  }

  private static WarmStartState parse(byte[] all, long nowMillis) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(all);
    if (in.getLong() != MARK || in.getLong() != checksum(all)) {
      throw new IOException("of another form, or damaged");
    }
    if (Math.abs(nowMillis - in.getLong()) > FRESH_MILLIS) {
      return null;
    }
    double[] f = new double[FIGURES];
    for (int i = 0; i < FIGURES; i++) {
      f[i] = in.getDouble();
    }
    WarmStartState learned = new WarmStartState(f[0], f[1], f[2], f[3], f[4], f[5]);
    if (!learned.sound()) {
      throw new IOException("figures that no router has");
    }
    return learned;
  }
}
