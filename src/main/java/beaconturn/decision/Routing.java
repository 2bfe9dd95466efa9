package beaconturn.decision;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntFunction;

/**
 * The whole interface of the decision module: what it is told at start, what happens to it, and
 * what it may do. Nothing here belongs to one wire; a second protocol would use the same types. All
 * times are nanoseconds, all clock times come from the host, and a server is an opaque number.
 */
public final class Routing {
  private Routing() {}

  /** Whether a request may run more than once. */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** Which servers discard repeats of a keyed request. */
  public enum Scope {
    ALL,
    ZONE,
    CELL
  }

  /**
   * How an attempt ended. One that is moot was not wanted any more before it was written; one that
   * is unsent failed for want of something on the router's own machine, such as a descriptor or a
   * port.
   */
  public enum Ending {
    OK,
    ERROR,
    FULL,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    MOOT,
    MISS,
    UNSENT;

    /** True where the ending proves that the attempt had no effect. */
    public boolean neverRan() {
      return this == FULL
          || this == CONNECT_FAILED
          || this == MOOT
          || this == MISS
          || this == UNSENT;
    }

    /** True where the server itself has said something. */
    public boolean spoke() {
      return this == OK || this == ERROR || this == FULL || this == MISS;
    }

    /** True where the router's own doing ended the attempt, which says nothing of the server. */
    public boolean ownDoing() {
      return this == CANCELLED || this == MOOT || this == UNSENT;
    }
  }

  /** What a server said about the key it answered for. */
  public enum Note {
    NONE,
    HIT,
    MISS,
    MISS_FETCHING
  }

  /** State of a server as the list tells it. */
  public enum Health {
    GONE,
    READY,
    DRAINING
  }

  /** How much of the server list an update holds. */
  public enum ListKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
  }

  /** One class of request; {@code window} is how long repeats of a keyed request are discarded. */
  public record RequestClass(
      Effect effect,
      Scope scope,
      long window,
      long aim,
      long deadline,
      double worth,
      double lateWorth,
      boolean stream) {}

  /** One customer: its quota over all routers, in requests a second; 0 means none is set. */
  public record Tenant(double quotaPerSecond, double share) {}

  /**
   * The figures behind the four rules; with {@code softRemoval} only the state of draining binds,
   * and one that the list calls gone, or leaves out, without it may still be sent to.
   */
  public record Rules(
      long answerSlack,
      long askWithin,
      double coldShare,
      long cold,
      long drainGrace,
      double fallMultiple,
      long overloadFor,
      boolean softRemoval) {}

  /**
   * What the site allows a router to do; a connection that is idle for {@code connIdle} is closed.
   */
  public record Permissions(
      boolean cancel,
      boolean peers,
      boolean probes,
      boolean retryAfter,
      boolean secondCopies,
      int maxTries,
      long maxRetryAfter,
      int multiplex,
      long connectTimeout,
      long connIdle) {}

  /**
   * Where the origin stands: {@code aside} misses go to servers of {@code kind}; else caches fetch,
   * and {@code tellsHits} says whether their answers tell that.
   */
  public record Origin(
      boolean aside,
      int kind,
      boolean ordered,
      boolean tellsHits,
      long fallTime,
      double fallMultiple) {}

  /** All settings; {@code ratingStable} says that ratings compare sizes and do not follow load. */
  public record Settings(
      int index,
      int routers,
      int zone,
      boolean askForList,
      boolean ratingStable,
      boolean worthByWork,
      double overShareWorth,
      long tick,
      List<RequestClass> classes,
      List<Tenant> tenants,
      Rules rules,
      Permissions permissions,
      Origin origin,
      List<String> reportNames) {
    /** The deadline of the class that has the longest, in nanoseconds; 0 without classes. */
    public long longestDeadline() {
      return classes.stream().mapToLong(RequestClass::deadline).max().orElse(0);
    }
  }

  /** One line of the server list; {@code bootTime} 0 means that it started long ago. */
  public record ServerEntry(
      long server, int zone, int kind, int cell, Health health, double rating, long bootTime) {}

  /** Everything that can happen to a router. */
  public sealed interface Event
      permits ServerList,
          Arrival,
          FirstByte,
          AttemptClosed,
          Withdrawn,
          Timer,
          Probed,
          PeerMessage,
          ByHand,
          Begun,
          Shares {}

  /**
   * Which places keys may go to: of {@link #WHOLE} parts of all, by their hash, so many to each, in
   * this order, the router's own first; what is missing to the whole goes nowhere. Parts up to
   * {@link #TRIAL} are trials. A place that has no server for a key leaves it to the router's own,
   * and to another only if {@code overflow}.
   */
  public record Shares(List<Integer> places, List<Integer> parts, boolean overflow)
      implements Event {
    /** All keys. */
    public static final int WHOLE = 1000;

    /**
     * Up to so many parts are trials: nothing that must not be repeated goes by them, if there is
     * another way.
     */
    public static final int TRIAL = 50;

    /** Any place, by the ring alone. */
    public static final Shares ANYWHERE = new Shares(List.of(), List.of(), true);

    /** Whether more than trials go there. */
    boolean uses(int place) {
      return places.isEmpty() || places.contains(place) && parts.get(places.indexOf(place)) > TRIAL;
    }

    /**
     * What is found in the first place for that hash that has it, or null; place -1 stands for all
     * of them.
     */
    <T> T first(long hash, boolean tries, IntFunction<T> in) {
      if (places.isEmpty()) {
        return in.apply(-1);
      }
      int at = (int) Long.remainderUnsigned(KeyHash.mix(~hash), WHOLE);
      int chosen = 0;
      while (chosen < parts.size() && at >= parts.get(chosen)) {
        at -= parts.get(chosen++);
      }
      if (chosen == parts.size()) {
        return null;
      }
      boolean trial = parts.get(chosen) <= TRIAL;
      T found = trial && !tries ? null : in.apply(places.get(chosen));
      for (int i = 0; found == null && i < parts.size(); i++) {
        found =
            i != chosen && parts.get(i) > TRIAL && (i == 0 || overflow || trial)
                ? in.apply(places.get(i))
                : null;
      }
      return found == null && trial && !tries ? in.apply(places.get(chosen)) : found;
    }
  }

  /** What a router that this one follows had learned; comes before any request. */
  public record Begun(WarmStartState learned) implements Event {}

  /**
   * An operator takes a server out, whatever the list says, until {@code out} is false again; it
   * then comes back as one that has started at {@code at}.
   */
  public record ByHand(long server, boolean out, long at) implements Event {}

  /** News of the server list. */
  public record ServerList(long version, ListKind kind, List<ServerEntry> entries)
      implements Event {}

  /** A request; {@code hint} is its expected work or 0, {@code key} 0 means none. */
  public record Arrival(
      long request,
      int tenant,
      long hint,
      long key,
      int requestClass,
      long left,
      boolean clientRetry,
      boolean write,
      double size)
      implements Event {}

  /** The answer of a streamed request has begun. */
  public record FirstByte(long request, long elapsed, long server, int attempt) implements Event {}

  /** An attempt has ended; {@code closed} says that its request needs no further answer. */
  public record AttemptClosed(
      long request,
      long elapsed,
      boolean closed,
      long server,
      Ending ending,
      Note note,
      int attempt,
      float[] report)
      implements Event {}

  /** The client has left; no answer is owed. */
  public record Withdrawn(long request) implements Event {}

  /** A timer set earlier is due. */
  public record Timer(long token) implements Event {}

  /** What a probe found. */
  public record Probed(long server, Ending ending, long elapsed, float[] report) implements Event {}

  /** A message from another router. */
  public record PeerMessage(int from, byte[] body) implements Event {}

  /** What a router makes of a server that it knows. */
  public enum Standing {
    /** Takes what the ring gives it. */
    IN,
    /** Started a while ago, and gets no more than a cold server may. */
    WARMING,
    /** Listed as draining. */
    DRAINING,
    /** Not listed any more. */
    GONE,
    /** Left out by hand, or by what all routers have agreed on. */
    LEFT_OUT,
    /** Passed over but for trials. */
    EJECTED
  }

  /** What a router makes of the list, by the servers' ids. */
  public record View(SortedMap<Long, Standing> servers) {
    /** How many servers are listed. */
    public int listed() {
      return (int) servers.values().stream().filter(s -> s != Standing.GONE).count();
    }

    /** How many of them are avoided, by hand or by choice. */
    public int avoided() {
      return (int)
          servers.values().stream()
              .filter(s -> s != Standing.GONE && s != Standing.IN && s != Standing.WARMING)
              .count();
    }
  }

  /** Why a request is given up. */
  public enum Why {
    /** Its key has failed at several cache servers. */
    KEY_FAILS,
    /** An answer could not come in time to be worth anything. */
    TOO_LATE,
    /** Cache servers, or the origin, have all the work that they can do. */
    FULL,
    /** It has waited for room as long as it may. */
    WAITED,
    /** No cache server may get it. */
    NO_SERVER,
    /** A further attempt is not allowed to it. */
    NO_FURTHER_ATTEMPT,
    /** A further attempt would cost others more than it is likely to help. */
    RETRY_NOT_EARNED
  }

  /** What a router may do; every call takes effect at the time of the event being handled. */
  public interface Actions {
    /** Starts the request's next attempt; it is timed out after {@code allowFor}. */
    void send(long request, long server, long allowFor);

    /** Stops waiting for one attempt. */
    void cancel(long request, int attempt);

    /** Final answer: declined, and safe to try again after {@code retryAfter} (0: no advice). */
    void refuse(long request, long retryAfter, Why why);

    /** Final answer: failed, with nothing promised. */
    void fail(long request, Why why);

    /** Asks for a timer event. */
    void timer(long delay, long token);

    /** Subscribes to changes of the server list, or stops. */
    void watch(boolean on);

    /** Asks once for the whole server list. */
    void fetchList();

    /** Probes a server. */
    void probe(long server);

    /** Sends bytes to one peer, or to all with -1. */
    void tell(int peer, byte[] body);

    /** Closes idle connections to a server. */
    void closeIdle(long server);

    /** Adds a line to the operator's log. */
    void log(String text);
  }

  /** A decision module: one per router, driven by one thread, sharing nothing. */
  public interface Router {
    /** Handles one event at the given clock time. */
    void handle(long now, Event event);

    /** What a router that follows should begin with, or null. */
    default WarmStartState learned() {
      return null;
    }

    /** What it makes of the list now. */
    default View view() {
      return new View(new TreeMap<>());
    }
  }
}
