package beaconturn.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All routers together never send a freshly started server so much, for so long, that it is pushed
 * over.
 */
final class SlowStartLimit extends Invariant {
  SlowStartLimit() {
    super("cold-kept", "no freshly started server is pushed over");
  }

  @Override
  void judge(HistoryIndex evidence) {
    Map<String, List<HistoryEvent.Sent>> sends = new HashMap<>();
    for (HistoryEvent.Sent sent : evidence.all(HistoryEvent.Sent.class)) {
      sends.computeIfAbsent(sent.server(), s -> new ArrayList<>()).add(sent);
    }
    for (HistoryEvent.Started start : evidence.all(HistoryEvent.Started.class)) {
      if (start.born() > 0) {
        windows(evidence.terms(), start, sends.getOrDefault(start.server(), List.of()));
      }
    }
    for (HistoryEvent.Collapsed fall : evidence.all(HistoryEvent.Collapsed.class)) {
      if (!fall.server().equals("origin")) {
        check(false, fall.at(), "", fall.server(), "collapsed under its load");
      }
    }
  }

  /** Every window that ends with a command, until the server is warm. */
  private void windows(
      InvariantBounds terms, HistoryEvent.Started start, List<HistoryEvent.Sent> sends) {
    Deque<HistoryEvent.Sent> window = new ArrayDeque<>();
    long work = 0;
    for (HistoryEvent.Sent sent : sends) {
      if (sent.at() < start.born() || sent.at() > start.born() + terms.coldFor()) {
        continue;
      }
      window.add(sent);
      work += sent.work();
      while (window.peek().at() <= sent.at() - terms.fallAfter()) {
        work -= window.remove().work();
      }
      double warm =
          terms.coldShare()
              + (1 - terms.coldShare()) * (sent.at() - start.born()) / Math.max(1, terms.coldFor());
      double can = warm * start.capacity() * terms.fallAfter();
      check(
          work <= terms.fallMultiple() * can,
          sent.at(),
          sent.id(),
          sent.server(),
          "sent "
              + Math.round(10 * work / can) / 10.0
              + " times what it can do "
              + millis(sent.at() - start.born())
              + " after its start");
    }
  }
}
