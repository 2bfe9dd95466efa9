package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.stats.CacheLookup;
import beaconturn.stats.RequestMetrics;
import java.util.List;

/** Records requests and attempts in the router's metrics. Confined to the routing thread. */
final class AttemptMetrics {
  /** Empty if nothing is recorded. */
  private List<RequestMetrics> sinks = List.of();

  /** Sets the metrics in which requests and attempts are recorded from now on. */
  void setSinks(List<RequestMetrics> metrics) {
    sinks = List.copyOf(metrics);
  }

  void requestReceived() {
    for (RequestMetrics metrics : sinks) {
      metrics.requestRouted();
    }
  }

  void attemptEnded(
      RequestTable.RequestEntry entry, OutboundAttempt attempt, AttemptResult result) {
    if (sinks.isEmpty()) {
      return;
    }
    AttemptOutcome outcome = result.outcome();
    boolean succeeded = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.MISS;
    long tookNanos = result.endedAtNanos() - attempt.sentAtNanos();
    boolean late = tookNanos > entry.latencyObjectiveNanos();
    CacheLookup lookup = lookup(result.cacheStatus());
    for (RequestMetrics metrics : sinks) {
      metrics.attemptEnded(attempt.serverId(), succeeded, lookup, tookNanos, late);
    }
  }

  private static CacheLookup lookup(CacheStatus status) {
    return switch (status) {
      case HIT -> CacheLookup.HIT;
      case NONE -> CacheLookup.UNKNOWN;
      default -> CacheLookup.MISS;
    };
  }
}
