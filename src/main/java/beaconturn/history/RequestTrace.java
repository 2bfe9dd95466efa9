package beaconturn.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** All that an account has on one request, in words: what an offence is read with. */
public final class RequestTrace {
  private static final double SECOND = 1e9;
  private final String id;
  private final long start;
  private final Set<Long> commands = new HashSet<>();
  private final Set<Long> connections = new HashSet<>();
  private final List<String> lines = new ArrayList<>();

  private RequestTrace(String id, long start) {
    this.id = id;
    this.start = start;
  }

  /** The lines of a request, in their order; times count from {@code start}. */
  public static List<String> of(List<HistoryEvent> entries, String id, long start) {
    RequestTrace story = new RequestTrace(id, start);
    entries.forEach(story::tell);
    return story.lines;
  }

  private void tell(HistoryEvent entry) {
    if (entry instanceof HistoryEvent.Asked a && a.id().equals(id)) {
      say(
          a.at(),
          "client asked router "
              + a.router()
              + ": "
              + a.type()
              + " "
              + a.key()
              + (a.once() == null ? "" : " once " + a.once())
              + ", until "
              + seconds(a.deadline()));
    } else if (entry instanceof HistoryEvent.Answered a && a.id().equals(id)) {
      say(a.at(), "client: " + lower(a.kind()));
    } else if (entry instanceof HistoryEvent.Crossed c && c.id().equals(id)) {
      say(c.at(), "client found the connection closed, asks once more");
    } else if (entry instanceof HistoryEvent.Sent s && s.id().equals(id)) {
      commands.add(s.number());
      connections.add(s.connection());
      String since =
          s.firstAt() == s.at() ? "" : ", which may have come at " + seconds(s.firstAt());
      say(
          s.at(),
          s.server()
              + " read #"
              + s.number()
              + " of router "
              + s.router()
              + " on connection "
              + s.connection()
              + since);
    } else if (entry instanceof HistoryEvent.Replied r && commands.contains(r.number())) {
      say(r.at(), "#" + r.number() + " answered: " + lower(r.made()));
    } else if (entry instanceof HistoryEvent.Ran r && commands.contains(r.number())) {
      say(r.at(), "#" + r.number() + (r.repeat() ? " discarded as a repeat" : " ran"));
    } else if (entry instanceof HistoryEvent.Ended e && connections.contains(e.connection())) {
      say(e.at(), "connection " + e.connection() + " ended");
    }
  }

  private void say(long at, String what) {
    lines.add(seconds(at) + " " + what);
  }

  private String seconds(long at) {
    return String.format(Locale.ROOT, "%.4f s", (at - start) / SECOND);
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
