package beaconturn.cli;

import beaconturn.net.ConfigException;
import beaconturn.net.RouterConfig;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

/** Reads a configuration as serve would, and says what is wrong with it. */
@Parameters(commandNames = "check-config", commandDescription = "read a configuration and check it")
final class CheckConfigCommand implements Command {
  @ParametersDelegate private final ConfigFileOption config = new ConfigFileOption();

  @Parameter(
      names = "--features",
      description = "the operators' file of what else is on, checked too")
  private String features;

  @Override
  public int execute() {
    try {
      RouterConfig read = config.read();
      System.out.println(
          "configuration is sound: "
              + read.name()
              + " on "
              + read.listenAddress()
              + ", "
              + read.settings().classNames().size()
              + " classes, "
              + read.initialEndpoints().endpoints().size()
              + " cache servers known");
      if (features != null) {
        FeaturesFile.Features on = FeaturesFile.all(features);
        System.out.println(
            "features are sound: agreement "
                + (on.agreement() == null ? "off" : "on")
                + ", zones "
                + (on.places() == null ? "off" : "on"));
      }
      return 0;
    } catch (ConfigException e) {
      System.err.println("check-config: " + e.getMessage());
      return 1;
    }
  }
}
