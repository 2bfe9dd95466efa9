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
 * Whether another process of this router runs beside this one: each holds the lock on one of two
 * bytes of a file, and the kernel frees that of a process however it ends. Where no seat can be had
 * the router counts as never alone, which costs it half of its connections and breaks no limit. For
 * one thread.
 */
final class ProcessSlots implements Closeable {
  private static final Logger LOG = Logger.getLogger(ProcessSlots.class.getName());
  private static final int COUNT = 2;
  private FileChannel file;
  private FileLock mine;

  /** Takes a seat; the file is made if it is not there. */
  ProcessSlots(Path path) {
    try {
      file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      sit();
    } catch (IOException e) {
      LOG.warning("no telling whether another process of this router runs: " + e);
    }
  }

  /** Tried again as long as it fails: the other process may have been looking just then. */
  private void sit() throws IOException {
    for (int i = 0; i < COUNT && mine == null; i++) {
      mine = lock(i);
    }
  }

  /** Whether another process has the other seat. */
  boolean beside() {
    try {
      if (mine == null && file != null) {
        sit();
      }
      if (mine == null) {
        return true;
      }
      FileLock other = lock(COUNT - 1 - (int) mine.position());
      if (other != null) {
        other.release();
      }
      return other == null;
    } catch (IOException e) {
      return true;
    }
  }

  private FileLock lock(int seat) throws IOException {
    try {
      return file.tryLock(seat, 1, false);
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
