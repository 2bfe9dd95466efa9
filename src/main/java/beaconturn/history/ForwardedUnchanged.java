package beaconturn.history;

/**
 * Checks that cache servers receive requests unchanged, from the router to which the client wrote
 * them.
 */
final class ForwardedUnchanged extends Invariant {
  ForwardedUnchanged() {
    super("passed-on", "requests reach cache servers as clients gave them");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (RequestRecord request : history.requests()) {
      for (HistoryEvent.AttemptArrived attempt : request.attempts()) {
        String difference = difference(request.lastWrite(), attempt);
        check(
            difference == null,
            attempt.atNanos(),
            request.id(),
            attempt.server(),
            String.valueOf(difference));
      }
    }
    for (HistoryEvent.UnreadableCommand unreadable :
        history.events(HistoryEvent.UnreadableCommand.class)) {
      check(
          false,
          unreadable.atNanos(),
          "",
          unreadable.server(),
          "a router sent what cannot be read: " + unreadable.reason());
    }
  }

  /** Returns how an attempt differs from the request, or null if it does not differ. */
  private static String difference(
      HistoryEvent.RequestWritten write, HistoryEvent.AttemptArrived attempt) {
    if (write == null) {
      return "no client has asked for it";
    }
    if (write.router() != attempt.router()) {
      return "another router took it";
    }
    boolean same =
        write.key().equals(attempt.key()) && write.requestClass().equals(attempt.requestClass());
    return same ? null : "its key or class was changed";
  }
}
