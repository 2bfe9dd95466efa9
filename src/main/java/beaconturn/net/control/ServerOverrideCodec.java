package beaconturn.net.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.logging.Logger;

/**
 * The text of an override file: a head line, then {@code out ID MILLIS} or {@code back ID MILLIS}
 * for each cache server, by {@link MonotonicMillis}.
 */
final class ServerOverrideCodec {
  private static final Logger LOG = Logger.getLogger(ServerOverrideCodec.class.getName());
  private static final String HEAD = "beaconturn-hand 2";

  /** Its times are those of the wall clock and are not read: what it says counts as said now. */
  private static final String EARLIER_HEAD = "beaconturn-hand 1";

  private static final String OUT = "out";
  private static final String BACK = "back";
  private static final int WORDS = 3;

  private ServerOverrideCodec() {}

  /** The lines of a file that holds these. */
  static List<String> encode(Collection<ServerOverride> overrides) {
    List<String> lines = new ArrayList<>(List.of(HEAD));
    for (ServerOverride override : overrides) {
      String word = override.excluded() ? OUT : BACK;
      lines.add(word + " " + override.id() + " " + override.atMillis());
    }
    return lines;
  }

  /**
   * What the lines of a file say; those that cannot be read are left out and logged.
   *
   * @param name of the file, for the log
   * @throws IOException if it is no override file
   */
  static List<ServerOverride> decode(List<String> lines, String name) throws IOException {
    boolean earlier = !lines.isEmpty() && lines.get(0).equals(EARLIER_HEAD);
    if (lines.isEmpty() || (!earlier && !lines.get(0).equals(HEAD))) {
      throw new IOException("does not begin with '" + HEAD + "'");
    }
    List<ServerOverride> overrides = new ArrayList<>();
    for (String line : lines.subList(1, lines.size())) {
      ServerOverride override = decodeLine(line, earlier);
      if (override == null) {
        LOG.warning(name + ": line left out: '" + line + "'");
      } else {
        overrides.add(override);
      }
    }
    return overrides;
  }

  /** Null if the line cannot be read. */
  private static ServerOverride decodeLine(String line, boolean earlier) {
    String[] words = line.split(" ");
    if (words.length != WORDS
        || !words[0].matches(OUT + "|" + BACK)
        || !words[2].matches("[0-9]{1,15}")) {
      return null;
    }
    long atMillis = earlier ? MonotonicMillis.millis() : Long.parseLong(words[2]);
    return new ServerOverride(words[1], words[0].equals(OUT), atMillis);
  }
}
