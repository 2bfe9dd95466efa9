package beaconturn.agreement;

/** Decides what a member may act on, by what it has persisted and acked. Pure functions. */
final class EffectiveConfigRules {
  private static final String STRICT = "strict ground";

  private EffectiveConfigRules() {}

  /**
   * The effective configuration of a member that does not know which version is in force: nothing
   * is sent twice, and what was excluded when it last knew is excluded still, whatever came since.
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
   * The effective configuration of a member that acts on a version until its lease ends. From then
   * on an acked version may be in force instead, so that only what contradicts neither of the two
   * may be acted on.
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
