package beaconturn.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** The requests that are not over yet: unanswered, or with an attempt still out. For one thread. */
final class RequestTable {
  private final Map<Long, Entry> entries = new HashMap<>();
  private final Map<ClientRequest, Entry> byCall = new IdentityHashMap<>();
  private long lastId;

  /** One request: its call until it is closed, and its attempts in the order of their sending. */
  static final class Entry {
    private final long id;
    private final ClientRequest call;
    private final RoutingEngine.Hosted module;
    private final List<OutboundAttempt> attempts = new ArrayList<>(2);
    private TimerQueue.Timer overdue;
    private boolean closed;
    private OutboundAttempt answering;
    private int out;

    private Entry(long id, ClientRequest call, RoutingEngine.Hosted module) {
      this.id = id;
      this.call = call;
      this.module = module;
    }

    /** The module that decides on it to its end. */
    RoutingEngine.Hosted module() {
      return module;
    }

    long id() {
      return id;
    }

    ClientRequest call() {
      return call;
    }

    List<OutboundAttempt> attempts() {
      return attempts;
    }

    /** The attempt whose answer is being passed on, or null. */
    OutboundAttempt answering() {
      return answering;
    }

    /** The attempt's answer is passed on from here on, however long that takes. */
    void answering(OutboundAttempt attempt) {
      answering = attempt;
      overdue.cancel();
    }

    /** Whether it has its answer, or nobody waits for one. */
    boolean closed() {
      return closed;
    }
  }

  /** Adds a request; {@code timer} makes the one that ends it if nothing else does. */
  Entry add(
      ClientRequest call, RoutingEngine.Hosted module, Function<Entry, TimerQueue.Timer> timer) {
    Entry r = new Entry(++lastId, call, module);
    r.overdue = timer.apply(r);
    entries.put(r.id, r);
    byCall.put(call, r);
    return r;
  }

  /** The request of that number, or null once it is over. */
  Entry get(long id) {
    return entries.get(id);
  }

  /** The request of a call that still waits, or null. */
  Entry of(ClientRequest call) {
    return byCall.get(call);
  }

  int openCount() {
    return byCall.size();
  }

  /** The requests that have no answer yet, as of now. */
  List<Entry> open() {
    return List.copyOf(byCall.values());
  }

  OutboundAttempt attempt(Entry r, long server, long now, long allowFor) {
    OutboundAttempt a = new OutboundAttempt(r.id, r.attempts.size(), server, r.call, now, allowFor);
    r.attempts.add(a);
    r.out++;
    return a;
  }

  void close(Entry r) {
    r.closed = true;
    r.overdue.cancel();
    byCall.remove(r.call);
    forget(r);
  }

  void ended(Entry r) {
    r.out--;
    forget(r);
  }

  private void forget(Entry r) {
    if (r.closed && r.out == 0) {
      entries.remove(r.id);
    }
  }
}
