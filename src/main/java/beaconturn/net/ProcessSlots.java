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
 * Detects whether another process of this router is running: each process locks one of two bytes of
 * a file, and the kernel releases the lock however the process exits. If no slot can be locked, the
 * other process is assumed to run, which halves the connection limits but exceeds none. For one
 * thread at a time.
 */
final class ProcessSlots implements Closeable {
  private static final Logger LOG = Logger.getLogger(ProcessSlots.class.getName());
  private static final int SLOT_COUNT = 2;
  private static final int SLOT_BYTES = 1;

  /** Null if the file cannot be opened. */
  private FileChannel file;

  /** Null until a slot is locked. */
  private FileLock ownSlot;

  /** Locks a slot; creates the file if it does not exist. */
  ProcessSlots(Path path) {
    try {
      file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      takeSlot();
    } catch (IOException e) {
      LOG.warning(
          "cannot lock a process slot; assuming that another process of this router runs: " + e);
    }
  }

  /**
   * Locks a free slot, if any. Repeated at each check until a slot is locked, as the other process
   * may be probing the slot at the same time.
   */
  private void takeSlot() throws IOException {
    for (int slot = 0; slot < SLOT_COUNT && ownSlot == null; slot++) {
      ownSlot = tryLock(slot);
    }
  }

  /** Whether another process holds the other slot. */
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
    FileLock otherSlot = tryLock(SLOT_COUNT - 1 - (int) ownSlot.position());
    if (otherSlot != null) {
      otherSlot.release();
    }
    return otherSlot != null;
  }

  private FileLock tryLock(int slot) throws IOException {
    try {
      return file.tryLock(slot, SLOT_BYTES, false);
    } catch (OverlappingFileLockException e) {
      // Held by another router in the same process, as in tests.
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
