package beaconturn.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An account, sorted for the rules: each request with all that belongs to it. */
final class Evidence {
  private final Terms terms;
  private final Map<String, Case> cases = new LinkedHashMap<>();
  private final Map<Long, Entry.Replied> replies = new HashMap<>();
  private final Map<Long, Entry.Ran> runs = new HashMap<>();
  private final Map<Long, Entry.Ended> ends = new HashMap<>();
  private final Map<Class<?>, List<Entry>> byKind = new HashMap<>();
  private final List<Entry.Paused> pauses;

  /** A request, what its client was told, and the commands that were sent for it in their order. */
  static final class Case {
    private final String id;
    private final List<Entry.Asked> asked = new ArrayList<>();
    private final List<Entry.Answered> answers = new ArrayList<>();
    private final List<Entry.Sent> sends = new ArrayList<>();
    private int crossings;

    /** 0 where nothing is said. */
    private long inFrontUntil;

    private Case(String id) {
      this.id = id;
    }

    String id() {
      return id;
    }

    /**
     * As it was written last, or null if no client did; a request that crossed a close is written
     * twice.
     */
    Entry.Asked asked() {
      return asked.isEmpty() ? null : asked.get(asked.size() - 1);
    }

    /**
     * Whether no router took it: each time that it was written crossed a close between requests.
     */
    boolean untaken() {
      return crossings >= asked.size();
    }

    /** As it was written first. */
    Entry.Asked firstAsked() {
      return asked.get(0);
    }

    List<Entry.Answered> answers() {
      return answers;
    }

    List<Entry.Sent> sends() {
      return sends;
    }

    /** The final answers, which are values, refusals and failures. */
    List<Entry.Answered> finals() {
      return answers.stream()
          .filter(
              a ->
                  a.kind() != Entry.Kind.BROKEN
                      && a.kind() != Entry.Kind.SILENCE
                      && a.kind() != Entry.Kind.LEFT)
          .toList();
    }

    /** Until when its answer had to wait for those in front of it on its connection. */
    long inFrontUntil() {
      return inFrontUntil;
    }

    /** When its client left over it, or {@code Long.MAX_VALUE} if it did not. */
    long leftAt() {
      return answers.stream()
          .filter(a -> a.kind() == Entry.Kind.LEFT)
          .mapToLong(Entry.Answered::at)
          .findFirst()
          .orElse(Long.MAX_VALUE);
    }
  }

  Evidence(Terms terms, List<Entry> entries) {
    this.terms = terms;
    for (Entry entry : entries) {
      byKind.computeIfAbsent(entry.getClass(), kind -> new ArrayList<>()).add(entry);
      if (entry instanceof Entry.Asked asked) {
        of(asked.id()).asked.add(asked);
      } else if (entry instanceof Entry.Answered answered) {
        of(answered.id()).answers.add(answered);
      } else if (entry instanceof Entry.Sent sent) {
        of(sent.id()).sends.add(sent);
      } else if (entry instanceof Entry.Crossed crossed) {
        of(crossed.id()).crossings++;
      } else if (entry instanceof Entry.InFront inFront) {
        of(inFront.id()).inFrontUntil = inFront.at();
      } else if (entry instanceof Entry.Replied replied) {
        replies.put(replied.number(), replied);
      } else if (entry instanceof Entry.Ran ran) {
        runs.putIfAbsent(ran.number(), ran);
      } else if (entry instanceof Entry.Ended ended) {
        ends.put(ended.connection(), ended);
      }
    }
    pauses = pauses(entries);
  }

  /**
   * All pauses in their order; those that lie over each other are one, as no moment counts twice.
   */
  static List<Entry.Paused> pauses(List<Entry> entries) {
    List<Entry.Paused> sorted =
        entries.stream()
            .filter(e -> e instanceof Entry.Paused)
            .map(e -> (Entry.Paused) e)
            .sorted(Comparator.comparingLong(Entry.Paused::at))
            .toList();
    List<Entry.Paused> merged = new ArrayList<>();
    for (Entry.Paused pause : sorted) {
      int last = merged.size() - 1;
      if (last >= 0 && merged.get(last).until() >= pause.at()) {
        merged.set(
            last,
            new Entry.Paused(
                merged.get(last).at(), Math.max(merged.get(last).until(), pause.until())));
      } else {
        merged.add(pause);
      }
    }
    return merged;
  }

  private Case of(String id) {
    return cases.computeIfAbsent(id, Case::new);
  }

  Terms terms() {
    return terms;
  }

  /** The request of that id. */
  Case request(String id) {
    return of(id);
  }

  /** All requests, also those that no client has asked for. */
  Iterable<Case> cases() {
    return cases.values();
  }

  /** All lines of a kind in their order. */
  @SuppressWarnings("unchecked")
  <T extends Entry> List<T> all(Class<T> kind) {
    // Filed under its own class, so each line is of that kind; rules ask for it in their loops.
    return (List<T>) byKind.getOrDefault(kind, List.of());
  }

  /** What the command was answered, or null. */
  Entry.Replied reply(Entry.Sent sent) {
    return replies.get(sent.number());
  }

  /** How it ran, or null. */
  Entry.Ran ran(Entry.Sent sent) {
    return runs.get(sent.number());
  }

  /** How its connection ended, or null. */
  Entry.Ended end(Entry.Sent sent) {
    return ends.get(sent.connection());
  }

  /**
   * Whether a command that was read whole may have run by the time: only a turn-away before it
   * rules it out.
   */
  boolean mayHaveRun(Entry.Sent sent, long by) {
    Entry.Replied reply = reply(sent);
    return reply == null || reply.made() != Entry.Made.BUSY || reply.at() > by;
  }

  /** How long it was between two times, less what the machine kept the kit from running. */
  long between(long from, long to) {
    long paused = 0;
    for (Entry.Paused pause : pauses) {
      paused += Math.max(0, Math.min(to, pause.until()) - Math.max(from, pause.at()));
    }
    return to - from - paused;
  }
}
