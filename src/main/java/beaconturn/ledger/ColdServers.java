package beaconturn.ledger;

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
final class ColdServers extends Rule {
  ColdServers() {
    super("cold-kept", "no freshly started server is pushed over");
  }

  @Override
  void judge(Evidence evidence) {
    Map<String, List<Entry.Sent>> sends = new HashMap<>();
    for (Entry.Sent sent : evidence.all(Entry.Sent.class)) {
      sends.computeIfAbsent(sent.server(), s -> new ArrayList<>()).add(sent);
    }
    for (Entry.Started start : evidence.all(Entry.Started.class)) {
      if (start.born() > 0) {
        windows(evidence.terms(), start, sends.getOrDefault(start.server(), List.of()));
      }
    }
    for (Entry.Collapsed fall : evidence.all(Entry.Collapsed.class)) {
      if (!fall.server().equals("origin")) {
        check(false, fall.at(), "", fall.server(), "collapsed under its load");
      }
    }
  }

  /** Every window that ends with a command, until the server is warm. */
  private void windows(Terms terms, Entry.Started start, List<Entry.Sent> sends) {
    Deque<Entry.Sent> window = new ArrayDeque<>();
    long work = 0;
    for (Entry.Sent sent : sends) {
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
