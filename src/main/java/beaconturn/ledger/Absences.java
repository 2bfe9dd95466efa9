package beaconturn.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Who was out of the parts that may be released, and when: from processes that ended, stood still
 * and answered again, from warm-ups, from what discovery listed, and from places that operators
 * held.
 */
public final class Absences {
  private Absences() {}

  /** A part that is out; one that nobody planned counts only once it can have been seen. */
  public record Gone(String part, long from, long to, boolean planned) {}

  /** Of an account; empty where nothing may be released. */
  public static List<Gone> of(Terms terms, List<Entry> entries) {
    return of(new Evidence(terms, entries));
  }

  static List<Gone> of(Evidence evidence) {
    Terms.Release terms = evidence.terms().release();
    return terms == null ? List.of() : terms.caches() ? caches(evidence) : routers(evidence);
  }

  private static List<Gone> routers(Evidence evidence) {
    List<String> names = List.copyOf(evidence.terms().release().sites().keySet());
    List<Gone> all = new ArrayList<>();
    for (Entry.Stopped stopped : evidence.all(Entry.Stopped.class)) {
      all.add(
          new Gone(
              names.get(stopped.router()),
              stopped.at(),
              back(evidence, stopped.router(), stopped.at()),
              stopped.planned()));
    }
    for (Entry.Died died : evidence.all(Entry.Died.class)) {
      all.add(
          new Gone(
              names.get(died.router()),
              died.at(),
              back(evidence, died.router(), died.at()),
              false));
    }
    return all;
  }

  private static long back(Evidence evidence, int router, long from) {
    return evidence.all(Entry.Ready.class).stream()
        .filter(r -> r.router() == router && r.at() > from)
        .mapToLong(Entry.Ready::at)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static List<Gone> caches(Evidence evidence) {
    Set<String> names = evidence.terms().release().sites().keySet();
    List<Gone> all = new ArrayList<>();
    for (String name : names) {
      for (Entry.Changed changed : evidence.all(Entry.Changed.class)) {
        if (changed.part().equals(name)) {
          all.add(new Gone(name, changed.at(), warm(evidence, name, changed.at()), true));
        }
      }
      for (Entry.Down down : evidence.all(Entry.Down.class)) {
        if (down.server().equals(name)) {
          all.add(new Gone(name, down.at(), warm(evidence, name, down.at()), false));
        }
      }
      for (Entry.Listed listed : evidence.all(Entry.Listed.class)) {
        if (listed.server().equals(name) && listed.state() != Entry.State.READY) {
          all.add(
              new Gone(
                  name,
                  listed.at(),
                  evidence.all(Entry.Listed.class).stream()
                      .filter(
                          l ->
                              l.server().equals(name)
                                  && l.at() > listed.at()
                                  && l.state() == Entry.State.READY)
                      .mapToLong(Entry.Listed::at)
                      .min()
                      .orElse(Long.MAX_VALUE),
                  false));
        }
      }
      for (Entry.Placed placed : evidence.all(Entry.Placed.class)) {
        if (placed.server().equals(name) && placed.taken()) {
          all.add(
              new Gone(
                  name,
                  placed.at(),
                  evidence.all(Entry.Placed.class).stream()
                      .filter(p -> p.server().equals(name) && !p.taken() && p.at() > placed.at())
                      .mapToLong(Entry.Placed::at)
                      .min()
                      .orElse(Long.MAX_VALUE),
                  true));
        }
      }
    }
    return all;
  }

  /** When the process that came next was warm. */
  private static long warm(Evidence evidence, String server, long after) {
    return evidence.all(Entry.Started.class).stream()
        .filter(s -> s.server().equals(server) && s.at() > after)
        .mapToLong(s -> s.at() + evidence.terms().coldFor())
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
