package beaconturn.core;

/** The cache servers as the module's thread acts on them; no call may block. */
public interface Fleet {
    /** Starts an attempt; its outcome comes back as a message. */
    void send(Attempt attempt);

    /** Stops waiting for an attempt and ends it on the wire; nothing comes back. */
    void abort(Attempt attempt);

    /** Closes idle connections to a cache server. */
    void closeIdle(long server);

    /** Follows news of the list. */
    void follow(ListNews news);
}
