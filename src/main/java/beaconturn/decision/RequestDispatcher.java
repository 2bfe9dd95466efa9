package beaconturn.decision;

/** What {@link OriginFetches} asks for when it lets a request go on. */
interface RequestDispatcher {
  /**
   * Sends the request's next attempt, or gives the request up where {@link AttemptGuard} forbids
   * it; {@code fetches} says that the origin will be asked.
   */
  void send(RequestState request, ServerState server, boolean fetches);

  /** Sends the request to the cache that {@link ServerSelector} chooses. */
  void sendToCache(RequestState request);

  /** Gives the request up. */
  void giveUp(RequestState request, GiveUpReason reason);
}
