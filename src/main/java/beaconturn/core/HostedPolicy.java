package beaconturn.core;

import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingPolicy;
import beaconturn.decision.RoutingSettings;
import java.util.function.Function;

/**
 * One routing policy with the settings that it was made for. Once another has replaced it, it goes
 * on with the requests that it has. Routing thread only.
 */
final class HostedPolicy {
  private final RoutingSettings settings;
  private final RoutingPolicy policy;
  private boolean replaced;
  private long replacedAtNanos;

  /** The policy that the factory makes for this very host, whose actions the policy will take. */
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

  /** Notes that another policy is in force from here on. */
  void replaced(long nowNanos) {
    replaced = true;
    replacedAtNanos = nowNanos;
  }

  /** Whether it was replaced so long ago that no request of its settings can be open any more. */
  boolean isObsolete(long nowNanos) {
    long longestRequestNanos =
        settings.safetyLimits().responseSlackNanos() + settings.longestDeadlineNanos();
    return replaced && nowNanos - replacedAtNanos > 2 * longestRequestNanos;
  }
}
