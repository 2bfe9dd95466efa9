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
 * The routing policies of one router across reloads of its settings: the current one, and replaced
 * ones that still handle requests read under their settings. Confined to the routing thread.
 */
final class PolicyGenerations {
  /** Oldest first; the last one is the current policy. */
  private final Deque<HostedPolicy> policies = new ArrayDeque<>();

  private final Function<HostedPolicy, RoutingActions> actions;

  /** Creates an empty collection; {@code actions} supplies the actions of each policy. */
  PolicyGenerations(Function<HostedPolicy, RoutingActions> actions) {
    this.actions = actions;
  }

  /** Adds a policy, which becomes the current one. */
  void add(RoutingSettings settings, Function<RoutingActions, RoutingPolicy> factory) {
    policies.add(new HostedPolicy(settings, host -> factory.apply(actions.apply(host))));
  }

  /**
   * Replaces the current policy by one that takes over its state as far as the policy allows.
   *
   * @throws IllegalStateException if the current policy is not a {@link RingRouter}
   */
  void replace(RoutingSettings settings, long seed, long nowNanos) {
    policies.removeIf(policy -> policy.isObsolete(nowNanos));
    HostedPolicy last = current();
    if (!(last.policy() instanceof RingRouter predecessor)) {
      throw new IllegalStateException("only a RingRouter policy can be replaced");
    }
    last.markReplaced(nowNanos);
    add(settings, out -> new RingRouter(settings, seed, nowNanos, out, predecessor));
  }

  /** The policy for new requests. */
  HostedPolicy current() {
    return policies.getLast();
  }

  /** All policies that may still have requests, oldest first. */
  Collection<HostedPolicy> all() {
    return Collections.unmodifiableCollection(policies);
  }

  /**
   * The policy with the settings that the request was read under, so that its class keeps its
   * meaning across a reload; null if that policy has been removed. Searches from the newest, since
   * settings that are restored also have an older, replaced policy.
   */
  @SuppressWarnings("ReferenceEquality") // Identifies the reload that produced the settings.
  HostedPolicy of(ClientRequest request) {
    if (request.settings() == null) {
      return current();
    }
    for (Iterator<HostedPolicy> newestFirst = policies.descendingIterator();
        newestFirst.hasNext(); ) {
      HostedPolicy policy = newestFirst.next();
      if (policy.settings() == request.settings()) {
        return policy;
      }
    }
    return null;
  }
}
