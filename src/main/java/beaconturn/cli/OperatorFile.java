package beaconturn.cli;

import beaconturn.net.ConfigException;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads a TOML file of operators whole; what is wrong in it, unknown keys too, is said in one line.
 */
final class OperatorFile {
  private OperatorFile() {}

  /** What is made of a file. */
  interface Form<T> {
    T of(TomlSection all) throws TomlException;
  }

  static <T> T read(String file, Form<T> form) throws ConfigException {
    try {
      TomlSection all = TomlSection.read(file, Files.readString(Path.of(file)));
      T made = form.of(all);
      all.rejectUnknownKeys();
      return made;
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
    } catch (TomlException e) {
      throw new ConfigException(e.getMessage());
    }
  }
}
