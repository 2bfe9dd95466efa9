package beaconturn.decision;

/** Operations that {@link OriginFetches} needs to continue a request. */
interface RequestDispatcher {
  /**
   * Sends the next attempt of the request, or gives the request up if {@link AttemptGuard} forbids
   * the attempt.
   *
   * @param fetchesFromOrigin whether the attempt is expected to fetch from the origin
   */
  void send(RequestState request, ServerState server, boolean fetchesFromOrigin);

  /** Sends the request to the cache that {@link ServerSelector} selects. */
  void sendToCache(RequestState request);

  /** Rejects or fails the request. */
  void giveUp(RequestState request, GiveUpReason reason);
}
