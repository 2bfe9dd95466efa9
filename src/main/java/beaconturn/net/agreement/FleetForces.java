package beaconturn.net.agreement;

import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.EffectiveConfig;
import beaconturn.core.Clock;
import beaconturn.core.RouterSettings;
import beaconturn.net.FleetConfigSource.Force;

/**
 * The settings under the effective configuration. The agreement's thread puts it in, the routing
 * thread says what it has applied, and any thread may ask; nobody waits.
 */
final class FleetForces {
  private final RouterSettings configured;
  private final Clock clock;
  private volatile LeasedForce leased;

  /** What the routing thread was last put under. */
  private volatile Force applied;

  FleetForces(RouterSettings configured, Clock clock) {
    this.configured = configured;
    this.clock = clock;
  }

  /** On the agreement's thread. */
  void update(EffectiveConfig config) {
    LeasedForce before = leased;
    Force whileLeased = force(config.whileLeased(), config.whileLeasedDescription(), before);
    Force afterLease = force(config.afterLease(), config.afterLeaseDescription(), before);
    leased = new LeasedForce(config.leaseEndNanos(), whileLeased, afterLease);
  }

  /** The same object where nothing has changed, so that the router need not compare more. */
  private Force force(ConfigContent content, String description, LeasedForce before) {
    if (before != null && before.whileLeased().means(content, description)) {
      return before.whileLeased();
    }
    if (before != null && before.afterLease().means(content, description)) {
      return before.afterLease();
    }
    return new Force(
        SettingsContentMapper.settingsUnder(configured, content),
        content.excludedServers(),
        content.minListVersion(),
        content,
        description);
  }

  /** What is to be in force now. */
  Force due() {
    return leased.at(clock.now());
  }

  /** Endpoint lists older than this one are not to be acted on, whether the lease holds or not. */
  long minListVersion() {
    LeasedForce now = leased;
    return Math.max(now.whileLeased().oldestList(), now.afterLease().oldestList());
  }

  void applied(Force force) {
    applied = force;
  }

  /** Whether what was decided under the applied settings may still be acted on. */
  @SuppressWarnings("ReferenceEquality") // A shortcut before the comparison.
  boolean mayWrite() {
    LeasedForce now = leased;
    Force current = applied;
    if (clock.now() < now.leaseEndNanos() || current == now.afterLease()) {
      return true;
    }
    return current != null && current.content().equals(now.afterLease().content());
  }
}
