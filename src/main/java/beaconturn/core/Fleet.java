package beaconturn.core;

/** The cache servers as the module's thread acts on them; no call may block. */
public interface Fleet {
    /** Starts an attempt, whose outcome comes back as a message; false if nothing was or will be sent. */
    boolean send(Attempt attempt);

    /** Stops waiting for an attempt and ends it on the wire; nothing comes back. */
    void abort(Attempt attempt);

    /** Closes idle connections to a cache server. */
    void closeIdle(long server);

    /** Follows news of the list. */
    void follow(ListNews news);
}
