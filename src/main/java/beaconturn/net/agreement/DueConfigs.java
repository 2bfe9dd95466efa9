package beaconturn.net.agreement;

import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.EffectiveConfig;
import beaconturn.core.Clock;
import beaconturn.core.RouterSettings;
import beaconturn.net.FleetConfigSource.DueConfig;

/**
 * The settings under the effective configuration. The agreement's thread puts it in, the routing
 * thread says what it has applied, and any thread may ask; nobody waits.
 */
final class DueConfigs {
  private final RouterSettings configured;
  private final Clock clock;
  private volatile LeasedConfig leased;

  /** The configuration that the routing thread has applied last. */
  private volatile DueConfig applied;

  DueConfigs(RouterSettings configured, Clock clock) {
    this.configured = configured;
    this.clock = clock;
  }

  /** On the agreement's thread. */
  void update(EffectiveConfig config) {
    LeasedConfig before = leased;
    DueConfig whileLeased =
        dueConfig(config.whileLeased(), config.whileLeasedDescription(), before);
    DueConfig afterLease = dueConfig(config.afterLease(), config.afterLeaseDescription(), before);
    leased = new LeasedConfig(config.leaseEndNanos(), whileLeased, afterLease);
  }

  /** The same object where nothing has changed, so that the router need not compare more. */
  private DueConfig dueConfig(ConfigContent content, String description, LeasedConfig before) {
    if (before != null && before.whileLeased().isSameAs(content, description)) {
      return before.whileLeased();
    }
    if (before != null && before.afterLease().isSameAs(content, description)) {
      return before.afterLease();
    }
    return new DueConfig(
        SettingsContentMapper.settingsUnder(configured, content),
        content.excludedServers(),
        content.minListVersion(),
        content,
        description);
  }

  /** What is to be in force now. */
  DueConfig due() {
    return leased.at(clock.now());
  }

  /** Endpoint lists older than this one are not to be acted on, whether the lease holds or not. */
  long minListVersion() {
    LeasedConfig now = leased;
    return Math.max(now.whileLeased().oldestListVersion(), now.afterLease().oldestListVersion());
  }

  void applied(DueConfig config) {
    applied = config;
  }

  /** Whether what was decided under the applied settings may still be acted on. */
  @SuppressWarnings("ReferenceEquality") // A shortcut before the comparison.
  boolean mayWrite() {
    LeasedConfig now = leased;
    DueConfig current = applied;
    if (clock.now() < now.leaseEndNanos() || current == now.afterLease()) {
      return true;
    }
    return current != null && current.content().equals(now.afterLease().content());
  }
}
