package beaconturn.net.control;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;

/**
 * What operators said of cache servers, kept for the next process of this router and told to the
 * one beside it: a line for each, {@code out ID MILLIS} or {@code back ID MILLIS} of the machine's
 * time, written aside and renamed. A file that cannot be written costs only that: the call itself
 * holds in this process. For one thread after the first reading.
 */
public final class ServerOverrideFile {
  private static final Logger LOG = Logger.getLogger(ServerOverrideFile.class.getName());
  private static final String HEAD = "beaconturn-hand 2";

  /** Its times are those of the wall clock and are not read: what it says counts as said now. */
  private static final String EARLIER_HEAD = "beaconturn-hand 1";

  private static final int LARGEST = 256 * 1024;
  private static final long MILLI = 1_000_000;
  private static final long LOOK_EVERY = 100 * MILLI;

  /**
   * What came back so long ago is not cold any more by any settings known; its line is left out.
   */
  private static final long FORGET_MILLIS = 600_000;

  private final Path file;
  private final boolean shared;
  private final Map<String, ServerOverride> hands = new LinkedHashMap<>();

  /** What the router has been told of them. */
  private final Map<String, ServerOverride> told = new HashMap<>();

  private Object lastSeen;
  private long lookAt;

  /**
   * The file, or null where nothing outlives the process; {@code shared} if another may write it
   * too.
   */
  public ServerOverrideFile(Path file, boolean shared) {
    this.file = file;
    this.shared = shared;
  }

  /**
   * All that is known, in the order of its first being said; a damaged file counts as far as it is
   * sound.
   */
  public List<ServerOverride> read() {
    load();
    told.putAll(hands);
    return List.copyOf(hands.values());
  }

  /**
   * Notes what was said last of a cache server, beside what another process has noted meanwhile.
   */
  void put(ServerOverride hand) {
    told.put(hand.id(), hand);
    if (file == null) {
      hands.put(hand.id(), hand);
      return;
    }
    Path lock = file.resolveSibling(file.getFileName() + ".lock");
    try (FileChannel channel =
            FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held = channel.lock()) {
      load();
      hands.put(hand.id(), hand);
      hands.values().removeIf(h -> !h.out() && hand.atMillis() - h.atMillis() > FORGET_MILLIS);
      Path aside = file.resolveSibling(file.getFileName() + ".new");
      Files.write(aside, text(), StandardCharsets.UTF_8);
      Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE);
      lastSeen = mark();
      LOG.finer("kept under " + held);
    } catch (IOException e) {
      hands.put(hand.id(), hand);
      LOG.warning("what operators said of cache servers is not kept for the next process: " + e);
    }
  }

  /** What another process has noted since the last look; looks now and then only. */
  List<ServerOverride> changes(long now) {
    if (!shared || file == null || now < lookAt) {
      return List.of();
    }
    lookAt = now + LOOK_EVERY;
    Object seen = mark();
    if (seen != null && !seen.equals(lastSeen)) {
      load();
    }
    List<ServerOverride> news =
        hands.values().stream().filter(h -> !h.equals(told.get(h.id()))).toList();
    news.forEach(h -> told.put(h.id(), h));
    return news;
  }

  /** Each writing makes a new file, which its key tells even where times are coarse. */
  private Object mark() {
    try {
      Map<String, Object> now = Files.readAttributes(file, "lastModifiedTime,fileKey,size");
      return List.copyOf(now.values());
    } catch (IOException e) {
      return null;
    }
  }

  private void load() {
    if (file == null || !Files.exists(file)) {
      return;
    }
    try {
      lastSeen = mark();
      if (Files.size(file) > LARGEST) {
        throw new IOException("larger than " + LARGEST + " bytes");
      }
      List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
      boolean earlier = !lines.isEmpty() && lines.get(0).equals(EARLIER_HEAD);
      if (lines.isEmpty() || (!earlier && !lines.get(0).equals(HEAD))) {
        throw new IOException("does not begin with '" + HEAD + "'");
      }
      lines.subList(1, lines.size()).forEach(text -> line(text, earlier));
    } catch (IOException e) {
      LOG.warning(file + ": not followed: " + e.getMessage());
    }
  }

  private void line(String text, boolean earlier) {
    String[] words = text.split(" ");
    if (words.length != 3 || !words[0].matches("out|back") || !words[2].matches("[0-9]{1,15}")) {
      LOG.warning(file + ": line left out: '" + text + "'");
      return;
    }
    long at = earlier ? MonotonicMillis.millis() : Long.parseLong(words[2]);
    ServerOverride hand = new ServerOverride(words[1], words[0].equals("out"), at);
    ServerOverride before = hands.get(hand.id());
    if (before == null || before.atMillis() <= hand.atMillis()) {
      hands.put(hand.id(), hand);
    }
  }

  private List<String> text() {
    List<String> lines = new ArrayList<>(List.of(HEAD));
    hands
        .values()
        .forEach(h -> lines.add((h.out() ? "out " : "back ") + h.id() + " " + h.atMillis()));
    return lines;
  }
}
