package beaconturn.net.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.logging.Logger;

/**
 * Encodes and decodes override files: a header line, then {@code out ID MILLIS} or {@code back ID
 * MILLIS} for each cache server, with the time by {@link MonotonicMillis}.
 */
final class ServerOverrideCodec {
  private static final Logger LOG = Logger.getLogger(ServerOverrideCodec.class.getName());
  private static final String HEADER = "beaconturn-hand 2";

  /** Version 1 has wall-clock times, which are ignored: its overrides count as received now. */
  private static final String HEADER_VERSION_1 = "beaconturn-hand 1";

  private static final String EXCLUDED = "out";
  private static final String INCLUDED = "back";
  private static final int WORDS_PER_LINE = 3;

  private ServerOverrideCodec() {}

  /** Encodes the overrides as the lines of a file. */
  static List<String> encode(Collection<ServerOverride> overrides) {
    List<String> lines = new ArrayList<>(List.of(HEADER));
    for (ServerOverride override : overrides) {
      String word = override.excluded() ? EXCLUDED : INCLUDED;
      lines.add(word + " " + override.id() + " " + override.atMillis());
    }
    return lines;
  }

  /**
   * Decodes the lines of a file. Invalid lines are skipped and logged.
   *
   * @param fileName file name for the log
   * @throws IOException if the header line is missing or unknown
   */
  static List<ServerOverride> decode(List<String> lines, String fileName) throws IOException {
    boolean isVersion1 = !lines.isEmpty() && lines.get(0).equals(HEADER_VERSION_1);
    if (lines.isEmpty() || (!isVersion1 && !lines.get(0).equals(HEADER))) {
      throw new IOException("first line is not '" + HEADER + "'");
    }
    List<ServerOverride> overrides = new ArrayList<>();
    for (String line : lines.subList(1, lines.size())) {
      ServerOverride override = decodeLine(line, isVersion1);
      if (override == null) {
        LOG.warning(fileName + ": skipping invalid line: '" + line + "'");
      } else {
        overrides.add(override);
      }
    }
    return overrides;
  }

  /** Returns null if the line is invalid. */
  private static ServerOverride decodeLine(String line, boolean isVersion1) {
    String[] words = line.split(" ");
    if (words.length != WORDS_PER_LINE
        || !words[0].matches(EXCLUDED + "|" + INCLUDED)
        || !words[2].matches("[0-9]{1,15}")) {
      return null;
    }
    long atMillis = isVersion1 ? MonotonicMillis.millis() : Long.parseLong(words[2]);
    return new ServerOverride(words[1], words[0].equals(EXCLUDED), atMillis);
  }
}
