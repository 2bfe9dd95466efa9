package beaconturn.cli;

import beaconturn.net.ConfigException;
import beaconturn.net.RouterConfig;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Reads and checks a configuration as {@code serve} does, without starting a router. */
@Parameters(commandNames = "check-config", commandDescription = "read a configuration and check it")
final class CheckConfigCommand implements Command {
  @ParametersDelegate private final ConfigFileOption config = new ConfigFileOption();

  @Parameter(
      names = "--features",
      description = "the operators' file of what else is on, checked too")
  private String featuresFile;

  @Override
  public int execute() {
    try {
      RouterConfig routerConfig = config.read();
      System.out.println(
          "configuration is sound: "
              + routerConfig.name()
              + " on "
              + routerConfig.listenAddress()
              + ", "
              + routerConfig.settings().classNames().size()
              + " classes, "
              + routerConfig.initialEndpoints().endpoints().size()
              + " cache servers known");
      if (featuresFile != null) {
        FeaturesFile.Features features = FeaturesFile.readAll(featuresFile);
        System.out.println(
            "features are sound: agreement "
                + (features.agreement() == null ? "off" : "on")
                + ", zones "
                + (features.zones() == null ? "off" : "on"));
      }
      return 0;
    } catch (ConfigException e) {
      System.err.println("check-config: " + e.getMessage());
      return 1;
    }
  }
}
