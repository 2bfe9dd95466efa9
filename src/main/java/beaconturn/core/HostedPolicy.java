package beaconturn.core;

import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingPolicy;
import beaconturn.decision.RoutingSettings;
import java.util.function.Function;

/**
 * A routing policy and the settings that it was created with. A replaced policy still handles its
 * open requests. Confined to the routing thread.
 */
final class HostedPolicy {
  private final RoutingSettings settings;
  private final RoutingPolicy policy;
  private boolean replaced;
  private long replacedAtNanos;

  /**
   * Creates the policy with the factory, which receives this host to build the policy's actions.
   */
  HostedPolicy(RoutingSettings settings, Function<HostedPolicy, RoutingPolicy> factory) {
    this.settings = settings;
    this.policy = factory.apply(this);
  }

  RoutingSettings settings() {
    return settings;
  }

  RoutingPolicy policy() {
    return policy;
  }

  void handle(long nowNanos, RoutingEvent event) {
    policy.handle(nowNanos, event);
  }

  /** Records that another policy has become the current one. */
  void markReplaced(long nowNanos) {
    replaced = true;
    replacedAtNanos = nowNanos;
  }

  /** Whether no request that was read under the settings can still be open. */
  boolean isObsolete(long nowNanos) {
    long longestRequestNanos =
        settings.safetyLimits().responseSlackNanos() + settings.longestDeadlineNanos();
    return replaced && nowNanos - replacedAtNanos > 2 * longestRequestNanos;
  }
}
