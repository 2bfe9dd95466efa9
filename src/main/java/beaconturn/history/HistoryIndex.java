package beaconturn.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An account, sorted for the rules: each request with all that belongs to it. */
final class HistoryIndex {
  private final InvariantBounds terms;
  private final Map<String, Case> cases = new LinkedHashMap<>();
  private final Map<Long, HistoryEvent.Replied> replies = new HashMap<>();
  private final Map<Long, HistoryEvent.Ran> runs = new HashMap<>();
  private final Map<Long, HistoryEvent.Ended> ends = new HashMap<>();
  private final Map<Class<?>, List<HistoryEvent>> byKind = new HashMap<>();
  private final List<HistoryEvent.Paused> pauses;

  /** A request, what its client was told, and the commands that were sent for it in their order. */
  static final class Case {
    private final String id;
    private final List<HistoryEvent.Asked> asked = new ArrayList<>();
    private final List<HistoryEvent.Answered> answers = new ArrayList<>();
    private final List<HistoryEvent.Sent> sends = new ArrayList<>();
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
    HistoryEvent.Asked asked() {
      return asked.isEmpty() ? null : asked.get(asked.size() - 1);
    }

    /**
     * Whether no router took it: each time that it was written crossed a close between requests.
     */
    boolean untaken() {
      return crossings >= asked.size();
    }

    /** As it was written first. */
    HistoryEvent.Asked firstAsked() {
      return asked.get(0);
    }

    List<HistoryEvent.Answered> answers() {
      return answers;
    }

    List<HistoryEvent.Sent> sends() {
      return sends;
    }

    /** The final answers, which are values, refusals and failures. */
    List<HistoryEvent.Answered> finals() {
      return answers.stream()
          .filter(
              a ->
                  a.kind() != HistoryEvent.Kind.BROKEN
                      && a.kind() != HistoryEvent.Kind.SILENCE
                      && a.kind() != HistoryEvent.Kind.LEFT)
          .toList();
    }

    /** Until when its answer had to wait for those in front of it on its connection. */
    long inFrontUntil() {
      return inFrontUntil;
    }

    /** When its client left over it, or {@code Long.MAX_VALUE} if it did not. */
    long leftAt() {
      return answers.stream()
          .filter(a -> a.kind() == HistoryEvent.Kind.LEFT)
          .mapToLong(HistoryEvent.Answered::at)
          .findFirst()
          .orElse(Long.MAX_VALUE);
    }
  }

  HistoryIndex(InvariantBounds terms, List<HistoryEvent> entries) {
    this.terms = terms;
    for (HistoryEvent entry : entries) {
      byKind.computeIfAbsent(entry.getClass(), kind -> new ArrayList<>()).add(entry);
      if (entry instanceof HistoryEvent.Asked asked) {
        of(asked.id()).asked.add(asked);
      } else if (entry instanceof HistoryEvent.Answered answered) {
        of(answered.id()).answers.add(answered);
      } else if (entry instanceof HistoryEvent.Sent sent) {
        of(sent.id()).sends.add(sent);
      } else if (entry instanceof HistoryEvent.Crossed crossed) {
        of(crossed.id()).crossings++;
      } else if (entry instanceof HistoryEvent.InFront inFront) {
        of(inFront.id()).inFrontUntil = inFront.at();
      } else if (entry instanceof HistoryEvent.Replied replied) {
        replies.put(replied.number(), replied);
      } else if (entry instanceof HistoryEvent.Ran ran) {
        runs.putIfAbsent(ran.number(), ran);
      } else if (entry instanceof HistoryEvent.Ended ended) {
        ends.put(ended.connection(), ended);
      }
    }
    pauses = pauses(entries);
  }

  /**
   * All pauses in their order; those that lie over each other are one, as no moment counts twice.
   */
  static List<HistoryEvent.Paused> pauses(List<HistoryEvent> entries) {
    List<HistoryEvent.Paused> sorted =
        entries.stream()
            .filter(e -> e instanceof HistoryEvent.Paused)
            .map(e -> (HistoryEvent.Paused) e)
            .sorted(Comparator.comparingLong(HistoryEvent.Paused::at))
            .toList();
    List<HistoryEvent.Paused> merged = new ArrayList<>();
    for (HistoryEvent.Paused pause : sorted) {
      int last = merged.size() - 1;
      if (last >= 0 && merged.get(last).until() >= pause.at()) {
        merged.set(
            last,
            new HistoryEvent.Paused(
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

  InvariantBounds terms() {
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
  <T extends HistoryEvent> List<T> all(Class<T> kind) {
    // Filed under its own class, so each line is of that kind; rules ask for it in their loops.
    return (List<T>) byKind.getOrDefault(kind, List.of());
  }

  /** What the command was answered, or null. */
  HistoryEvent.Replied reply(HistoryEvent.Sent sent) {
    return replies.get(sent.number());
  }

  /** How it ran, or null. */
  HistoryEvent.Ran ran(HistoryEvent.Sent sent) {
    return runs.get(sent.number());
  }

  /** How its connection ended, or null. */
  HistoryEvent.Ended end(HistoryEvent.Sent sent) {
    return ends.get(sent.connection());
  }

  /**
   * Whether a command that was read whole may have run by the time: only a turn-away before it
   * rules it out.
   */
  boolean mayHaveRun(HistoryEvent.Sent sent, long by) {
    HistoryEvent.Replied reply = reply(sent);
    return reply == null || reply.made() != HistoryEvent.Made.BUSY || reply.at() > by;
  }

  /** How long it was between two times, less what the machine kept the kit from running. */
  long between(long from, long to) {
    long paused = 0;
    for (HistoryEvent.Paused pause : pauses) {
      paused += Math.max(0, Math.min(to, pause.until()) - Math.max(from, pause.at()));
    }
    return to - from - paused;
  }
}
