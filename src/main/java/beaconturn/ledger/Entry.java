package beaconturn.ledger;

/** One line of the account; times are nanoseconds of one clock. */
public sealed interface Entry {
    /** When it happened. */
    long at();

    /** A client has written a request whole; {@code at} is when its last byte went out. */
    record Asked(long at, String id, String type, String key, String once, int router, long deadline)
            implements Entry { }

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
        SILENCE
    }

    /** A client was told something, or has seen that it will not be; {@code digest} is the value's. */
    record Answered(long at, String id, Kind kind, long digest) implements Entry { }

    /** A stand-in has read a command whole; {@code work} is for a warm server, in nanoseconds. */
    record Sent(long at, long firstAt, long turn, long number, String server, int router, long connection,
            String id, String type, String key, long work) implements Entry { }

    /**
     * A connection was found closed when a request was written on it; the client asks once more on a new one.
     */
    record Crossed(long at, String id) implements Entry { }

    /** What a stand-in answered. */
    enum Made { VALUE, SPOILT, BUSY, ERROR }

    /** A stand-in has answered a command. */
    record Replied(long at, long number, Made made, long digest) implements Entry { }

    /** A command's effect or value has come about; a repeat's effect was discarded. */
    record Ran(long at, long number, boolean repeat) implements Entry { }

    /** A connection to a stand-in has ended. */
    record Ended(long at, long turn, long connection) implements Entry { }

    /**
     * A cache server has started; {@code capacity} is work per time when warm, {@code born} 0 is long ago.
     */
    record Started(long at, String server, String zone, int cell, long born, double capacity)
            implements Entry { }

    /** A cache server, or "origin", was pushed over. */
    record Collapsed(long at, String server) implements Entry { }

    /** A fetch or write has reached the origin, which now holds so many. */
    record Fetched(long at, String server, boolean cold, int inside) implements Entry { }

    /** How a server is listed. */
    enum State { READY, DRAINING, GONE }

    /** Discovery knows a change from now on. */
    record Listed(long at, String server, State state) implements Entry { }

    /** A router was told of a server. */
    record Told(long at, int router, String server, State state, long born) implements Entry { }

    /** A router called discovery. */
    record Called(long at, int router) implements Entry { }

    /** Discovery is up from now on, or no longer. */
    record Reachable(long at, boolean up) implements Entry { }

    /** A router was told to stop at a time, or killed outright and gone by {@code until}. */
    record Stopped(long at, long until, int router, boolean planned) implements Entry { }

    /** A router's process ended though nobody had told it to. */
    record Died(long at, int router, String how) implements Entry { }

    /** A stand-in could not read what a router sent. */
    record Unreadable(long at, String server, int router, String why) implements Entry { }

    /**
     * The machine did not let the kit itself run from {@code at} to {@code until}: limits are so much longer.
     */
    record Paused(long at, long until) implements Entry { }
}
