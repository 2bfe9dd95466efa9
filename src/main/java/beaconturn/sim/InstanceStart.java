package beaconturn.sim;

import beaconturn.core.RouterSettingsReader;
import beaconturn.core.SettingsException;
import beaconturn.decision.RoutingSettings;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Parameters with which an instance starts.
 *
 * @param seed seed of the random source
 */
record InstanceStart(long seed, RoutingSettings settings) {
  /** Reads the seed and the settings, which are lines {@code key=value}. */
  static InstanceStart read(ByteBuffer in) throws SimulatorProtocolException {
    long seed = in.getLong();
    byte[] text = WireFields.bytes(in, in.getInt());
    return new InstanceStart(seed, settings(new String(text, StandardCharsets.UTF_8)));
  }

  private static RoutingSettings settings(String text) throws SimulatorProtocolException {
    Map<String, String> values = new HashMap<>();
    for (String line : text.split("\n")) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
      }
    }
    try {
      return RouterSettingsReader.read(values).routing();
    } catch (SettingsException e) {
      throw new SimulatorProtocolException(e.getMessage());
    }
  }
}
