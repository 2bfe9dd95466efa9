package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.stats.CacheLookup;
import beaconturn.stats.RequestMetrics;
import java.util.List;

/** The count of requests and attempts in the router's metrics. Routing thread only. */
final class AttemptMetrics {
  /** Where to count; empty where nobody asks. */
  private List<RequestMetrics> sinks = List.of();

  /** Says where to count from here on. */
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
    boolean answered = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.MISS;
    long tookNanos = result.endedAtNanos() - attempt.sentAtNanos();
    boolean late = tookNanos > entry.latencyObjectiveNanos();
    CacheLookup lookup = lookup(result.cacheStatus());
    for (RequestMetrics metrics : sinks) {
      metrics.attemptEnded(attempt.serverId(), answered, lookup, tookNanos, late);
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
