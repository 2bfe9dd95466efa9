package beaconturn.core;

import beaconturn.decision.RingRouter;
import beaconturn.decision.RoutingActions;
import beaconturn.decision.RoutingPolicy;
import beaconturn.decision.RoutingSettings;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Function;

/**
 * The policies of one router across reloads of its settings: the one in force, and those before it,
 * which go on with the requests that were read under their settings. Routing thread only.
 */
final class PolicyGenerations {
  /** The policy in force last. */
  private final Deque<HostedPolicy> policies = new ArrayDeque<>();

  private final Function<HostedPolicy, RoutingActions> actions;

  /** No policies yet; {@code actions} makes what each policy acts through. */
  PolicyGenerations(Function<HostedPolicy, RoutingActions> actions) {
    this.actions = actions;
  }

  /** Has a policy be in force from here on. */
  void add(RoutingSettings settings, Function<RoutingActions, RoutingPolicy> factory) {
    policies.add(new HostedPolicy(settings, host -> factory.apply(actions.apply(host))));
  }

  /**
   * Replaces the policy in force; what the new one keeps of the old one is the policy's affair.
   *
   * @throws IllegalStateException if the policy in force is of a kind that cannot be replaced
   */
  void replace(RoutingSettings settings, long seed, long nowNanos) {
    policies.removeIf(policy -> policy.isObsolete(nowNanos));
    HostedPolicy last = current();
    if (!(last.policy() instanceof RingRouter before)) {
      throw new IllegalStateException("a policy of another kind is not replaced");
    }
    last.replaced(nowNanos);
    add(settings, out -> new RingRouter(settings, seed, nowNanos, out, before));
  }

  /** The policy in force. */
  HostedPolicy current() {
    return policies.getLast();
  }

  /** All policies that may still have requests, the one in force last. */
  Collection<HostedPolicy> all() {
    return Collections.unmodifiableCollection(policies);
  }

  /**
   * The policy that the request was read for: one that crosses new settings keeps its class's
   * rules. The latest of them: settings that come back into force have a policy of before, which
   * was replaced. Null if it has been let go: under other settings the same number may be another
   * class.
   */
  @SuppressWarnings("ReferenceEquality") // Settings of that very reload.
  HostedPolicy of(ClientRequest request) {
    if (request.settings() == null) {
      return current();
    }
    for (Iterator<HostedPolicy> latest = policies.descendingIterator(); latest.hasNext(); ) {
      HostedPolicy policy = latest.next();
      if (policy.settings() == request.settings()) {
        return policy;
      }
    }
    return null;
  }
}
