package beaconturn.history;

import java.util.Map;
import java.util.Set;

/** One line of the account; times are nanoseconds of one clock. */
public sealed interface HistoryEvent {
  /** When it happened. */
  long at();

  /** A client has written a request whole; {@code at} is when its last byte went out. */
  record Asked(long at, String id, String type, String key, String once, int router, long deadline)
      implements HistoryEvent {}

  /** What became of a request at its client. */
  enum Kind {
    /** A value. */
    SERVED,
    /** Come again. */
    REFUSED,
    /** An error. */
    FAILED,
    /** The connection ended with no whole answer. */
    BROKEN,
    /** A spoilt value that the client can tell from a whole one. */
    CUT,
    /** Nothing, long after the deadline. */
    SILENCE,
    /** The client has closed its connection over it and waits for nothing any more. */
    LEFT
  }

  /**
   * A client was told something, or has seen that it will not be; {@code digest} is the value's.
   */
  record Answered(long at, String id, Kind kind, long digest) implements HistoryEvent {}

  /** A stand-in has read a command whole; {@code work} is for a warm server, in nanoseconds. */
  record Sent(
      long at,
      long firstAt,
      long turn,
      long number,
      String server,
      int router,
      long connection,
      String id,
      String type,
      String key,
      long work)
      implements HistoryEvent {}

  /**
   * A connection was found closed when a request was written on it; the client asks once more on a
   * new one. What was written with it had {@code begun} then.
   */
  record Crossed(long at, String id, long begun) implements HistoryEvent {
    /** One that was written in a moment. */
    public Crossed(long at, String id) {
      this(at, id, at);
    }
  }

  /**
   * A connection was ended by its router while a client was in the middle of commands, which it had
   * {@code begun} to write; {@code resting} if nothing else was open.
   */
  record HalfSent(long at, String id, int router, long begun, boolean resting)
      implements HistoryEvent {}

  /** The answers in front of a request's own on its connection were all there at that time. */
  record InFront(long at, String id) implements HistoryEvent {}

  /** What a stand-in answered. */
  enum Made {
    VALUE,
    SPOILT,
    BUSY,
    ERROR
  }

  /** A stand-in has answered a command. */
  record Replied(long at, long number, Made made, long digest) implements HistoryEvent {}

  /** A command's effect or value has come about; a repeat's effect was discarded. */
  record Ran(long at, long number, boolean repeat) implements HistoryEvent {}

  /** A connection to a stand-in has ended. */
  record Ended(long at, long turn, long connection) implements HistoryEvent {}

  /**
   * A cache server has started; {@code capacity} is work per time when warm, {@code born} 0 is long
   * ago.
   */
  record Started(long at, String server, String zone, int cell, long born, double capacity)
      implements HistoryEvent {}

  /** A cache server, or "origin", was pushed over. */
  record Collapsed(long at, String server) implements HistoryEvent {}

  /** A fetch or write has reached the origin, which now holds so many. */
  record Fetched(long at, String server, boolean cold, int inside) implements HistoryEvent {}

  /** How a server is listed. */
  enum State {
    READY,
    DRAINING,
    GONE
  }

  /** Discovery knows a change from now on. */
  record Listed(long at, String server, State state) implements HistoryEvent {}

  /** A router was told of a server. */
  record Told(long at, int router, String server, State state, long born) implements HistoryEvent {}

  /** A router called discovery. */
  record Called(long at, int router) implements HistoryEvent {}

  /** Discovery is up from now on, or no longer. */
  record Reachable(long at, boolean up) implements HistoryEvent {}

  /**
   * A router was told to stop; or killed outright and gone, or made to stand still, {@code until}.
   */
  record Stopped(long at, long until, int router, boolean planned) implements HistoryEvent {}

  /** A router's process ended though nobody had told it to. */
  record Died(long at, int router, String how) implements HistoryEvent {}

  /** A router's line stands on the roster from now on, or no longer. */
  record Member(long at, int router, boolean on) implements HistoryEvent {}

  /** A router answers, after a start or after it stood still. */
  record Ready(long at, int router) implements HistoryEvent {}

  /**
   * A part is taken out to run another variant, which is what is released or what was there before;
   * {@code router} is its number, or -1 for a cache server.
   */
  record Changed(long at, String part, int router, boolean released) implements HistoryEvent {}

  /** A cache server's process has ended; it is back with the next start under its name. */
  record Down(long at, String server) implements HistoryEvent {}

  /**
   * An operator has taken a place for a cache server, which is to be held out, or has given it
   * back.
   */
  record Placed(long at, String server, boolean taken) implements HistoryEvent {}

  /** A place was taken for a part; until it takes another it goes out and back under this one. */
  record Permitted(long at, String part) implements HistoryEvent {}

  /** What discovery writes reaches the router at once from now on, or late or never. */
  record Hears(long at, int router, boolean clear) implements HistoryEvent {}

  /** An operator has said how many parts may be out from now on, in all and of one site. */
  record Budget(long at, int mostOut, int mostOutOfSite) implements HistoryEvent {}

  /** An operator's order to a release has been carried out: halt, resume, back. */
  record Ordered(long at, String what) implements HistoryEvent {}

  /** Where a version stands. */
  enum Step {
    PROPOSED,
    IN_FORCE
  }

  /**
   * A version was proposed or came into force, as the store saw it; it holds these servers out and
   * allows so many sends for a request, 0 where it does not say; of the {@code unsafe} classes
   * nothing is to be repeated, and if it {@code lists}, nobody is to act on a list before the one
   * of when it was proposed.
   */
  record Versioned(
      long at,
      long number,
      Step step,
      Set<String> out,
      int mostTries,
      Set<String> unsafe,
      boolean lists)
      implements HistoryEvent {}

  /** A plan of places stands from now on: to which places the keys of each go, in thousandths. */
  record Planned(long at, long number, Map<String, Map<String, Integer>> rows)
      implements HistoryEvent {}

  /** A fault that the scenario has put there begins, or has ended. */
  record Troubled(long at, boolean on) implements HistoryEvent {}

  /** A stand-in could not read what a router sent. */
  record Unreadable(long at, String server, int router, String why) implements HistoryEvent {}

  /**
   * The machine did not let the kit itself run from {@code at} to {@code until}: limits are so much
   * longer.
   */
  record Paused(long at, long until) implements HistoryEvent {}
}
