package beaconturn.net.agreement;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.PersistedConfig;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;

/**
 * What a router keeps of the agreement for its next start: written aside, forced, renamed, forced
 * again.
 */
final class PersistedConfigFile {
  private final Path file;
  private final Consumer<String> log;

  /** The file of a router in the folder; nothing is kept where that is null. */
  PersistedConfigFile(Path folder, String router, Consumer<String> log) {
    this.file =
        folder == null
            ? null
            : folder.resolve("beaconturn-" + router.replaceAll("[^A-Za-z0-9-]", "_") + ".agreed");
    this.log = log;
  }

  /** What was kept; a file that is damaged counts as none, and is said. */
  PersistedConfig read() {
    if (file == null || !Files.exists(file)) {
      return PersistedConfig.EMPTY;
    }
    try {
      return PersistedConfig.decode(Files.readString(file));
    } catch (IOException | AgreementException e) {
      log.accept("agreement: " + file + " is not followed: " + e.getMessage());
      return PersistedConfig.EMPTY;
    }
  }

  /** Whether it will be there after a cut at any moment; true where nothing is to be kept. */
  boolean write(PersistedConfig kept) {
    if (file == null) {
      return true;
    }
    Path aside = file.resolveSibling(file.getFileName() + ".new");
    try {
      ByteBuffer bytes = ByteBuffer.wrap(kept.encode().getBytes(StandardCharsets.UTF_8));
      try (FileChannel channel =
          FileChannel.open(
              aside,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
        channel.force(true);
      }
      Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE);
      try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
        folder.force(true);
      }
      return true;
    } catch (IOException e) {
      log.accept("agreement: " + file + " cannot be written: " + e);
      return false;
    }
  }
}
