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
 * The file in which a router persists its agreement state for its next start. A new version is
 * written to a temporary file, synced and renamed, and the folder is synced, so a crash at any time
 * leaves a complete file. Not thread-safe.
 */
final class PersistedConfigFile {
  private final Path file;
  private final Consumer<String> log;

  /** Creates the file of a router in the folder; nothing is persisted if the folder is null. */
  PersistedConfigFile(Path folder, String router, Consumer<String> log) {
    this.file =
        folder == null
            ? null
            : folder.resolve("beaconturn-" + router.replaceAll("[^A-Za-z0-9-]", "_") + ".agreed");
    this.log = log;
  }

  /** Reads the persisted state. An invalid file is logged and treated as absent. */
  PersistedConfig read() {
    if (file == null || !Files.exists(file)) {
      return PersistedConfig.EMPTY;
    }
    try {
      return PersistedConfig.decode(Files.readString(file));
    } catch (IOException | AgreementException e) {
      log.accept("agreement: ignoring " + file + ": " + e.getMessage());
      return PersistedConfig.EMPTY;
    }
  }

  /** Writes the state durably. Returns false on failure, true also if nothing is persisted. */
  boolean write(PersistedConfig config) {
    if (file == null) {
      return true;
    }
    Path temporary = file.resolveSibling(file.getFileName() + ".new");
    try {
      ByteBuffer bytes = ByteBuffer.wrap(config.encode().getBytes(StandardCharsets.UTF_8));
      try (FileChannel channel =
          FileChannel.open(
              temporary,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
        channel.force(true);
      }
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
      try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent())) {
        directory.force(true);
      }
      return true;
    } catch (IOException e) {
      log.accept("agreement: " + file + " cannot be written: " + e);
      return false;
    }
  }
}
