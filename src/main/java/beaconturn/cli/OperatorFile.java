package beaconturn.cli;

import beaconturn.net.ConfigException;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads TOML files of operators; reports any error, including unknown keys, in one line. */
final class OperatorFile {
  private OperatorFile() {}

  /** Converts the root section of a file to a value. */
  interface Parser<T> {
    T parse(TomlSection root) throws TomlException;
  }

  static <T> T read(String file, Parser<T> parser) throws ConfigException {
    try {
      TomlSection root = TomlSection.read(file, Files.readString(Path.of(file)));
      T value = parser.parse(root);
      root.rejectUnknownKeys();
      return value;
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
    } catch (TomlException e) {
      throw new ConfigException(e.getMessage());
    }
  }
}
