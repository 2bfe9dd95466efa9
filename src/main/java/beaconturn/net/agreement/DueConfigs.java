package beaconturn.net.agreement;

import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.EffectiveConfig;
import beaconturn.core.Clock;
import beaconturn.core.RouterSettings;
import beaconturn.net.FleetConfigSource.DueConfig;

/**
 * Holds the router settings that result from the effective configuration. The agreement thread
 * updates it, the routing thread reports what it has applied, and any thread may read. No method
 * blocks.
 */
final class DueConfigs {
  private final RouterSettings configured;
  private final Clock clock;
  private volatile LeasedConfig leased;

  /** The configuration that the routing thread applied last, or null. */
  private volatile DueConfig applied;

  DueConfigs(RouterSettings configured, Clock clock) {
    this.configured = configured;
    this.clock = clock;
  }

  /** Takes a new effective configuration, on the agreement thread. */
  void update(EffectiveConfig config) {
    LeasedConfig before = leased;
    DueConfig whileLeased =
        dueConfig(config.whileLeased(), config.whileLeasedDescription(), before);
    DueConfig afterLease = dueConfig(config.afterLease(), config.afterLeaseDescription(), before);
    leased = new LeasedConfig(config.leaseEndNanos(), whileLeased, afterLease);
  }

  /** Returns the previous object if nothing has changed, so that the router compares identities. */
  private DueConfig dueConfig(ConfigContent content, String description, LeasedConfig before) {
    if (before != null && before.whileLeased().isSameAs(content, description)) {
      return before.whileLeased();
    }
    if (before != null && before.afterLease().isSameAs(content, description)) {
      return before.afterLease();
    }
    return new DueConfig(
        SettingsContentMapper.applyContent(configured, content),
        content.excludedServers(),
        content.minListVersion(),
        content,
        description);
  }

  /** Returns the configuration that applies now. */
  DueConfig due() {
    return leased.at(clock.now());
  }

  /** Returns the oldest endpoint list version allowed both under the lease and after it. */
  long minListVersion() {
    LeasedConfig now = leased;
    return Math.max(now.whileLeased().oldestListVersion(), now.afterLease().oldestListVersion());
  }

  void applied(DueConfig config) {
    applied = config;
  }

  /** Whether decisions made under the applied configuration may still be acted on. */
  @SuppressWarnings("ReferenceEquality") // Fast path before comparing contents.
  boolean mayWrite() {
    LeasedConfig now = leased;
    DueConfig current = applied;
    if (clock.now() < now.leaseEndNanos() || current == now.afterLease()) {
      return true;
    }
    return current != null && current.content().equals(now.afterLease().content());
  }
}
