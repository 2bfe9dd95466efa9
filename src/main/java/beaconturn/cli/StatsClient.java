package beaconturn.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads statistics from the second address of a router. */
final class StatsClient {
  private static final int TIMEOUT_MILLIS = 1000;
  private static final String PREFIX = "app.";
  private static final String END = "--";

  private StatsClient() {}

  /**
   * The values by their names; none where the router does not know the command.
   *
   * @throws IOException if the router does not answer in time, or with what is no number
   */
  static Map<String, Long> read(String address, String command) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(parse(address), TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
      return read(
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)));
    } catch (NumberFormatException e) {
      throw new IOException("figures that cannot be read", e);
    }
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Lines of StatsD: a name, a colon, the value, a bar and the type. */
  private static Map<String, Long> read(BufferedReader lines) throws IOException {
    Map<String, Long> values = new HashMap<>();
    for (String line = lines.readLine();
        line != null && !line.equals(END);
        line = lines.readLine()) {
      int valueAt = line.lastIndexOf(':');
      int typeAt = line.lastIndexOf('|');
      if (line.startsWith(PREFIX) && valueAt > 0 && typeAt > valueAt) {
        values.put(
            line.substring(PREFIX.length(), valueAt),
            Long.parseLong(line.substring(valueAt + 1, typeAt)));
      }
    }
    return values;
  }
}
