package beaconturn.agreement;

/** What a member tells and asks its router. Called on the thread that drives the member. */
public interface AgreementCallbacks {
  /**
   * What may be acted on from here on; comes before the store hears anything that follows from it.
   */
  void effectiveConfigChanged(EffectiveConfig config);

  /** Keeps it for the next start, durably before this returns; false if it cannot be kept. */
  boolean persist(PersistedConfig config);

  /** Why the router cannot follow the content, or null if it can. */
  String objection(ConfigContent content);

  /**
   * Whether the router has what the content asks for, such as its endpoint list; while it has not,
   * the member neither acks nor nacks and asks again.
   */
  default boolean isReadyFor(ConfigContent content) {
    return true;
  }
}
