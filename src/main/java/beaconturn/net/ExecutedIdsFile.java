package beaconturn.net;

import beaconturn.net.client.ExecutedRequestIds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * The file in which the processes of a router share the ids of requests that may have been
 * executed: the memory of {@link ExecutedRequestIds}, mapped by each process.
 */
final class ExecutedIdsFile {
  private static final Logger LOG = Logger.getLogger(ExecutedIdsFile.class.getName());

  private final Path path;

  ExecutedIdsFile(Path path) {
    this.path = path;
  }

  /** Opens the shared ids; those of this process alone if the file cannot be used. */
  ExecutedRequestIds open() {
    try (FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      allocate(file);
      MappedByteBuffer memory =
          file.map(FileChannel.MapMode.READ_WRITE, 0, ExecutedRequestIds.MEMORY_BYTES);
      return new ExecutedRequestIds(memory.order(ByteOrder.nativeOrder()));
    } catch (IOException e) {
      LOG.warning(path + ": ids of executed requests are not shared with another process: " + e);
      return new ExecutedRequestIds();
    }
  }

  /** Writes the missing part, as a mapped page that finds no space on write ends the process. */
  private static void allocate(FileChannel file) throws IOException {
    long size = file.size();
    if (size < ExecutedRequestIds.MEMORY_BYTES) {
      ByteBuffer zeros = ByteBuffer.allocate((int) (ExecutedRequestIds.MEMORY_BYTES - size));
      while (zeros.hasRemaining()) {
        file.write(zeros, size + zeros.position());
      }
    }
  }
}
