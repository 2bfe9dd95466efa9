package beaconturn.decision;

/** One sending of a request. */
final class Attempt {
    final Server server;
    final long sentAt;
    final boolean toOrigin;
    boolean open = true;
    boolean neverRan;
    boolean judged;

    Attempt(Server server, long sentAt, boolean toOrigin) {
        this.server = server;
        this.sentAt = sentAt;
        this.toOrigin = toOrigin;
    }
}
