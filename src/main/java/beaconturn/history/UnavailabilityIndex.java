package beaconturn.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Who was out of the parts that may be released, and when: from processes that ended, stood still
 * and answered again, from warm-ups, from what discovery listed, and from places that operators
 * held.
 */
public final class UnavailabilityIndex {
  private UnavailabilityIndex() {}

  /** A part that is out; one that nobody planned counts only once it can have been seen. */
  public record Gone(String part, long from, long to, boolean planned) {}

  /** Of an account; empty where nothing may be released. */
  public static List<Gone> of(InvariantBounds terms, List<HistoryEvent> entries) {
    return of(new HistoryIndex(terms, entries));
  }

  static List<Gone> of(HistoryIndex evidence) {
    InvariantBounds.Release terms = evidence.terms().release();
    return terms == null ? List.of() : terms.caches() ? caches(evidence) : routers(evidence);
  }

  private static List<Gone> routers(HistoryIndex evidence) {
    List<String> names = List.copyOf(evidence.terms().release().sites().keySet());
    List<Gone> all = new ArrayList<>();
    for (HistoryEvent.Stopped stopped : evidence.all(HistoryEvent.Stopped.class)) {
      all.add(
          new Gone(
              names.get(stopped.router()),
              stopped.at(),
              back(evidence, stopped.router(), stopped.at()),
              stopped.planned()));
    }
    for (HistoryEvent.Died died : evidence.all(HistoryEvent.Died.class)) {
      all.add(
          new Gone(
              names.get(died.router()),
              died.at(),
              back(evidence, died.router(), died.at()),
              false));
    }
    return all;
  }

  private static long back(HistoryIndex evidence, int router, long from) {
    return evidence.all(HistoryEvent.Ready.class).stream()
        .filter(r -> r.router() == router && r.at() > from)
        .mapToLong(HistoryEvent.Ready::at)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static List<Gone> caches(HistoryIndex evidence) {
    Set<String> names = evidence.terms().release().sites().keySet();
    List<Gone> all = new ArrayList<>();
    for (String name : names) {
      for (HistoryEvent.Changed changed : evidence.all(HistoryEvent.Changed.class)) {
        if (changed.part().equals(name)) {
          all.add(new Gone(name, changed.at(), warm(evidence, name, changed.at()), true));
        }
      }
      for (HistoryEvent.Down down : evidence.all(HistoryEvent.Down.class)) {
        if (down.server().equals(name)) {
          all.add(new Gone(name, down.at(), warm(evidence, name, down.at()), false));
        }
      }
      for (HistoryEvent.Listed listed : evidence.all(HistoryEvent.Listed.class)) {
        if (listed.server().equals(name) && listed.state() != HistoryEvent.State.READY) {
          all.add(
              new Gone(
                  name,
                  listed.at(),
                  evidence.all(HistoryEvent.Listed.class).stream()
                      .filter(
                          l ->
                              l.server().equals(name)
                                  && l.at() > listed.at()
                                  && l.state() == HistoryEvent.State.READY)
                      .mapToLong(HistoryEvent.Listed::at)
                      .min()
                      .orElse(Long.MAX_VALUE),
                  false));
        }
      }
      for (HistoryEvent.Placed placed : evidence.all(HistoryEvent.Placed.class)) {
        if (placed.server().equals(name) && placed.taken()) {
          all.add(
              new Gone(
                  name,
                  placed.at(),
                  evidence.all(HistoryEvent.Placed.class).stream()
                      .filter(p -> p.server().equals(name) && !p.taken() && p.at() > placed.at())
                      .mapToLong(HistoryEvent.Placed::at)
                      .min()
                      .orElse(Long.MAX_VALUE),
                  true));
        }
      }
    }
    return all;
  }

  /** When the process that came next was warm. */
  private static long warm(HistoryIndex evidence, String server, long after) {
    return evidence.all(HistoryEvent.Started.class).stream()
        .filter(s -> s.server().equals(server) && s.at() > after)
        .mapToLong(s -> s.at() + evidence.terms().coldFor())
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
