package beaconturn.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The list of cache servers as routers are told it: each change is known here some time after it
 * has happened and makes a new version. Answers the whole list at once, and a watch when there is
 * something newer.
 */
public final class DiscoveryModel {
  /** The latest change of each cache server that the list has heard of. */
  private final Map<String, Long> heardOf = new HashMap<>();

  private long changes;
  private final EventScheduler agenda;
  private final HistoryRecorder witness;
  private final Map<String, EndpointListing> truth = new LinkedHashMap<>();
  private final TreeMap<Long, Version> versions = new TreeMap<>();
  private final Set<Call> watches = new LinkedHashSet<>();
  private final Map<Integer, Set<String>> toldTo = new LinkedHashMap<>();
  private boolean out;
  private long delay;
  private long back;

  /** A version: when it was made, the entry that changed, and all that are listed. */
  private record Version(long at, EndpointListing changed, Map<String, EndpointListing> all) {}

  /** What discovery says: the version, whether it is the whole list, and its entries. */
  public record News(long version, boolean whole, List<EndpointListing> entries) {}

  /** Where an answer goes; exactly one of the two is called. */
  public interface Asker {
    /** The call has its answer, which goes out now. */
    void news(News news);

    /** The call has failed. */
    void failed();
  }

  /** A call that waits: a watch, or an answer that is slow to go out. */
  public final class Call {
    private final int router;
    private final long after;
    private final Asker asker;
    private EventScheduler.Task end;
    private boolean over;

    private Call(int router, long after, Asker asker) {
      this.router = router;
      this.after = after;
      this.asker = asker;
    }

    /** The router has gone; nothing is said any more. */
    public void cancel() {
      over = true;
      end.cancel();
      watches.remove(this);
    }

    private void answer(boolean whole) {
      watches.remove(this);
      end.cancel();
      end = agenda.in(delay, () -> tell(whole));
    }

    private void tell(boolean whole) {
      if (over) {
        return;
      }
      over = true;
      if (out) {
        asker.failed();
        return;
      }
      News news = whole ? wholeList() : since(after);
      record(router, news);
      asker.news(news);
    }

    private void fail() {
      end.cancel();
      watches.remove(this);
      if (!over) {
        over = true;
        asker.failed();
      }
    }
  }

  /** A discovery that knows nobody yet; its first version is 1. */
  public DiscoveryModel(EventScheduler agenda, HistoryRecorder witness) {
    this.agenda = agenda;
    this.witness = witness;
    versions.put(1L, new Version(agenda.now(), null, Map.of()));
    witness.discovery(agenda.now(), true);
  }

  /**
   * A cache server changes now; the list follows after the lag, in nanoseconds, unless it has heard
   * of a later change by then: a drain that was called off before it was known is never listed.
   */
  void change(EndpointListing entry, long lag) {
    long number = ++changes;
    if (lag <= 0) {
      publish(entry, number);
    } else {
      agenda.in(lag, () -> publish(entry, number));
    }
  }

  private void publish(EndpointListing entry, long number) {
    if (number < heardOf.getOrDefault(entry.host(), 0L)) {
      return;
    }
    heardOf.put(entry.host(), number);
    witness.listed(agenda.now(), entry.host(), entry.health());
    if (entry.health() == EndpointListing.Health.GONE) {
      truth.remove(entry.host());
    } else {
      truth.put(entry.host(), entry);
    }
    versions.put(
        versions.lastKey() + 1, new Version(agenda.now(), entry, new LinkedHashMap<>(truth)));
    List.copyOf(watches).forEach(this::wake);
  }

  private void wake(Call watch) {
    if (watch.after < view()) {
      watch.answer(false);
    }
  }

  /** The version that it tells: the last one, or one of some time ago while it is back in time. */
  private long view() {
    long view = versions.lastKey();
    while (back > 0 && view > 1 && versions.get(view).at() > agenda.now() - back) {
      view--;
    }
    return view;
  }

  /** A router asks for the whole list. */
  public Call whole(int router, Asker asker) {
    Call call = called(router, 0, asker);
    if (!call.over) {
      call.answer(true);
    }
    return call;
  }

  /** A router waits for something newer than the version, for so many nanoseconds at most. */
  public Call watch(int router, long after, long wait, Asker asker) {
    Call call = called(router, after, asker);
    if (call.over) {
      return call;
    }
    // A version that was never given out or lies ahead tells nothing of what the router has.
    if (after > view() || !versions.containsKey(after)) {
      call.answer(true);
    } else if (after < view()) {
      call.answer(false);
    } else {
      watches.add(call);
      call.end = agenda.in(wait, () -> call.answer(false));
    }
    return call;
  }

  private Call called(int router, long after, Asker asker) {
    witness.asked(agenda.now(), router);
    Call call = new Call(router, after, asker);
    call.end = agenda.in(0, () -> {});
    if (out) {
      call.fail();
    }
    return call;
  }

  private News wholeList() {
    long view = view();
    return new News(view, true, List.copyOf(versions.get(view).all().values()));
  }

  /** What changed since; each cache server once, as it is now. */
  private News since(long after) {
    long view = view();
    if (after > view || !versions.containsKey(after)) {
      return wholeList();
    }
    Map<String, EndpointListing> changed = new LinkedHashMap<>();
    versions
        .subMap(after, false, view, true)
        .values()
        .forEach(
            version -> {
              changed.remove(version.changed().host());
              changed.put(version.changed().host(), version.changed());
            });
    return new News(view, false, List.copyOf(changed.values()));
  }

  private void record(int router, News news) {
    Set<String> known = toldTo.computeIfAbsent(router, r -> new LinkedHashSet<>());
    Set<String> named = new LinkedHashSet<>();
    for (EndpointListing entry : news.entries()) {
      named.add(entry.host());
      witness.told(agenda.now(), router, entry.host(), entry.health(), entry.born());
    }
    if (news.whole()) {
      known.stream()
          .filter(host -> !named.contains(host))
          .forEach(
              host -> witness.told(agenda.now(), router, host, EndpointListing.Health.GONE, 0));
      known.retainAll(named);
    }
    known.addAll(named);
  }

  /** The list as a router has it before its start: the account counts it as told. */
  public News known(int router) {
    News news = wholeList();
    record(router, news);
    return news;
  }

  /** Out: calls fail and watches break; or back. */
  void out(boolean on) {
    if (out != on) {
      witness.discovery(agenda.now(), !on);
    }
    out = on;
    if (on) {
      List.copyOf(watches).forEach(Call::fail);
    }
  }

  /** Every answer takes so many nanoseconds longer. */
  void slow(long nanos) {
    delay = nanos;
  }

  /** It tells the list as it was so many nanoseconds ago; 0 for as it is. */
  void back(long nanos) {
    back = nanos;
    List.copyOf(watches).forEach(this::wake);
  }

  /** How a cache server is listed at last, or null. */
  public EndpointListing listed(String host) {
    return truth.get(host);
  }

  /** The last version. */
  public long version() {
    return versions.lastKey();
  }
}
