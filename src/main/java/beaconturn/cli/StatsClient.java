package beaconturn.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads metrics from the admin address of a router. */
final class StatsClient {
  private static final int TIMEOUT_MILLIS = 1000;
  private static final String METRIC_PREFIX = "app.";
  private static final String END_MARKER = "--";

  private StatsClient() {}

  /**
   * Returns the metrics by name; none if the router does not support the command.
   *
   * @throws IOException if the router does not respond in time, or a value is not a number
   */
  static Map<String, Long> read(String address, String command) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(parseAddress(address), TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
      return parseMetrics(
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)));
    } catch (NumberFormatException e) {
      throw new IOException("the admin address returned a metric that is not a number", e);
    }
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Parses lines in StatsD format: {@code name:value|type}. */
  private static Map<String, Long> parseMetrics(BufferedReader lines) throws IOException {
    Map<String, Long> values = new HashMap<>();
    for (String line = lines.readLine();
        line != null && !line.equals(END_MARKER);
        line = lines.readLine()) {
      int valueSeparator = line.lastIndexOf(':');
      int typeSeparator = line.lastIndexOf('|');
      if (line.startsWith(METRIC_PREFIX) && valueSeparator > 0 && typeSeparator > valueSeparator) {
        values.put(
            line.substring(METRIC_PREFIX.length(), valueSeparator),
            Long.parseLong(line.substring(valueSeparator + 1, typeSeparator)));
      }
    }
    return values;
  }
}
