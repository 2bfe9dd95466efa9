package beaconturn.cli;

import beaconturn.net.ConfigException;
import beaconturn.net.RouterConfig;
import beaconturn.net.RouterConfigReader;
import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Map;

/** The {@code --config} option, shared by the commands that read a router configuration. */
final class ConfigFileOption {
  @Parameter(
      names = "--config",
      description = "the configuration file; PROXY_CONFIG where not given")
  private String configFile;

  RouterConfig read() throws ConfigException {
    return read(System.getenv());
  }

  /**
   * Reads the file again without the environment variables, which date from the start of the
   * process and must not override a file that was replaced since.
   */
  RouterConfig reread() throws ConfigException {
    return read(Map.of());
  }

  private RouterConfig read(Map<String, String> environment) throws ConfigException {
    String path = configFile != null ? configFile : System.getenv("PROXY_CONFIG");
    if (path == null) {
      throw new ConfigException("no configuration: neither --config nor PROXY_CONFIG is given");
    }
    return RouterConfigReader.read(Path.of(path), environment);
  }
}
