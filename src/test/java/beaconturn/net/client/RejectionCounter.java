package beaconturn.net.client;

import beaconturn.stats.RequestEnd;
import beaconturn.stats.RequestMetrics;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests that are rejected. */
final class RejectionCounter implements RequestMetrics {
  private final AtomicInteger rejected = new AtomicInteger();

  @Override
  public void requestEnded(String requestClass, RequestEnd end) {
    if (end == RequestEnd.REJECTED) {
      rejected.incrementAndGet();
    }
  }

  int count() {
    return rejected.get();
  }
}
