package beaconturn.agreement;

/** Callbacks from a member to its router, called on the thread that drives the member. */
public interface AgreementCallbacks {
  /**
   * Called when the effective configuration changes, before the member sends any store request that
   * depends on it.
   */
  void effectiveConfigChanged(EffectiveConfig config);

  /**
   * Persists the configuration for the next start. Returns true once the configuration is durable,
   * or false if it could not be written.
   */
  boolean persist(PersistedConfig config);

  /** Returns why the router cannot apply the content, or null if it can. */
  String objection(ConfigContent content);

  /**
   * Whether the router has everything that the content requires, such as a recent enough endpoint
   * list. While the result is false, the member neither acks nor nacks, and asks again.
   */
  default boolean isReadyFor(ConfigContent content) {
    return true;
  }
}
