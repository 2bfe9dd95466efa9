package beaconturn.cli;

import beaconturn.net.ConfigException;
import beaconturn.net.RouterConfig;
import beaconturn.net.RouterConfigReader;
import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.Map;

/** The option that names the configuration, shared by the commands that need one. */
final class ConfigFileOption {
  @Parameter(
      names = "--config",
      description = "the configuration file; PROXY_CONFIG where not given")
  private String file;

  RouterConfig read() throws ConfigException {
    return read(System.getenv());
  }

  /**
   * Reads the file alone: the variables are as old as the start, and the file has been replaced
   * since.
   */
  RouterConfig readAnew() throws ConfigException {
    return read(Map.of());
  }

  private RouterConfig read(Map<String, String> variables) throws ConfigException {
    String path = file != null ? file : System.getenv("PROXY_CONFIG");
    if (path == null) {
      throw new ConfigException("no configuration: neither --config nor PROXY_CONFIG is given");
    }
    return RouterConfigReader.read(Path.of(path), variables);
  }
}
