package beaconturn.net;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * Tells whether another process of this router runs beside this one: each holds the lock on one of
 * two bytes of a file, and the kernel frees that of a process however it ends. Where no slot can be
 * had the router counts as never alone, which costs it half of its connections and exceeds no
 * limit. For one thread at a time.
 */
final class ProcessSlots implements Closeable {
  private static final Logger LOG = Logger.getLogger(ProcessSlots.class.getName());
  private static final int SLOT_COUNT = 2;
  private static final int SLOT_BYTES = 1;

  /** Null if the file cannot be opened. */
  private FileChannel file;

  /** Null as long as no slot could be had. */
  private FileLock ownSlot;

  /** Takes a slot; the file is made if it is not there. */
  ProcessSlots(Path path) {
    try {
      file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      takeSlot();
    } catch (IOException e) {
      LOG.warning("no telling whether another process of this router runs: " + e);
    }
  }

  /** Tried again as long as it fails: the other process may have been looking just then. */
  private void takeSlot() throws IOException {
    for (int slot = 0; slot < SLOT_COUNT && ownSlot == null; slot++) {
      ownSlot = tryLock(slot);
    }
  }

  /** Whether another process has the other slot. */
  boolean isOtherTaken() {
    try {
      if (ownSlot == null && file != null) {
        takeSlot();
      }
      return ownSlot == null || !isOtherFree();
    } catch (IOException e) {
      return true;
    }
  }

  private boolean isOtherFree() throws IOException {
    FileLock other = tryLock(SLOT_COUNT - 1 - (int) ownSlot.position());
    if (other != null) {
      other.release();
    }
    return other != null;
  }

  private FileLock tryLock(int slot) throws IOException {
    try {
      return file.tryLock(slot, SLOT_BYTES, false);
    } catch (OverlappingFileLockException e) {
      // Another router in this same process: a test's.
      return null;
    }
  }

  @Override
  public void close() throws IOException {
    if (file != null) {
      file.close();
    }
  }
}
