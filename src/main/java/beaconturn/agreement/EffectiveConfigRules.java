package beaconturn.agreement;

/** Derives a member's effective configuration from its persisted state. Pure functions. */
final class EffectiveConfigRules {
  private static final String STRICT = "strict ground";

  private EffectiveConfigRules() {}

  /**
   * Returns the effective configuration of a member that does not know which version is in force:
   * no request is sent more than once, and every server that was excluded in the last known
   * versions stays excluded.
   */
  static EffectiveConfig withoutBasis(PersistedConfig persisted, ConfigContent localContent) {
    ConfigContent known = persisted.actingVersion().content().withDefaults(localContent);
    if (persisted.ackedVersion() != null) {
      ConfigContent acked = persisted.ackedVersion().content().withDefaults(localContent);
      known = StrictestCommonConfig.between(known, acked);
    }
    ConfigContent strict = StrictestCommonConfig.strict(known);
    return new EffectiveConfig(Long.MIN_VALUE, strict, STRICT, strict, STRICT);
  }

  /**
   * Returns the effective configuration of a member that acts on a version while it holds its
   * lease. After that the acked version may be in force instead, so the member may only act on what
   * contradicts neither of the two.
   */
  static EffectiveConfig of(PersistedConfig basis, ConfigContent localContent, long leaseEndNanos) {
    ConfigContent acting = basis.actingVersion().content().withDefaults(localContent);
    String description = describe(basis.actingVersion());
    ConfigVersion acked = basis.ackedVersion();
    if (acked == null) {
      return new EffectiveConfig(
          leaseEndNanos, acting, description, acting, description + " without a lease");
    }
    ConfigContent common =
        StrictestCommonConfig.between(acting, acked.content().withDefaults(localContent));
    String commonDescription =
        "safe ground between " + description + " and version " + acked.number();
    return new EffectiveConfig(leaseEndNanos, acting, description, common, commonDescription);
  }

  private static String describe(ConfigVersion version) {
    return version.number() == 0 ? "its own configuration" : "version " + version.number();
  }
}
