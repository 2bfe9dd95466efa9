package beaconturn.stats;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The metrics of one process since its start. Lock-free and safe for any thread. Keeps the counts
 * of request classes that have been removed from the settings.
 */
public class Counters implements RequestMetrics {
  /** The request ends that are exported, in output order. */
  private static final List<RequestEnd> EXPORTED_ENDS =
      List.of(RequestEnd.SUCCEEDED, RequestEnd.REJECTED, RequestEnd.FAILED);

  /** The counts of one class's requests by their end. */
  private static final class RequestClassCounters {
    private final LongAdder succeeded = new LongAdder();
    private final LongAdder rejected = new LongAdder();
    private final LongAdder failed = new LongAdder();

    private LongAdder of(RequestEnd end) {
      return switch (end) {
        case SUCCEEDED -> succeeded;
        case REJECTED -> rejected;
        case FAILED -> failed;
        case ABANDONED ->
            throw new IllegalArgumentException("abandoned requests are not counted by class");
      };
    }
  }

  private final Map<String, RequestClassCounters> classes = new ConcurrentSkipListMap<>();
  private final LongAdder openRequests = new LongAdder();
  private final LongAdder attemptsWritten = new LongAdder();
  private final LongAdder configsAccepted = new LongAdder();
  private final LongAdder configsInvalid = new LongAdder();
  private volatile int serversListed;
  private volatile int serversAvoided;

  @Override
  public void declareClass(String requestClass) {
    of(requestClass);
  }

  private RequestClassCounters of(String requestClass) {
    return classes.computeIfAbsent(requestClass, name -> new RequestClassCounters());
  }

  @Override
  public void requestAccepted() {
    openRequests.increment();
  }

  @Override
  public void requestEnded(String requestClass, RequestEnd end) {
    openRequests.decrement();
    if (end != RequestEnd.ABANDONED) {
      of(requestClass).of(end).increment();
    }
  }

  @Override
  public void attemptWritten() {
    attemptsWritten.increment();
  }

  @Override
  public void serverCounts(int listed, int avoided) {
    serversListed = listed;
    serversAvoided = avoided;
  }

  @Override
  public void configReloaded(boolean accepted) {
    (accepted ? configsAccepted : configsInvalid).increment();
  }

  /** All current metrics, in a fixed order. Not an atomic snapshot. */
  public List<Metric> read() {
    List<Metric> all = new ArrayList<>();
    for (RequestEnd end : EXPORTED_ENDS) {
      classes.forEach(
          (name, counters) ->
              all.add(new Metric(end.metricName() + "." + name, counters.of(end).sum(), false)));
    }
    all.add(new Metric("sends", attemptsWritten.sum(), false));
    // A concurrent read may see a request's end but not its start.
    all.add(new Metric("current", Math.max(0, openRequests.sum()), true));
    all.add(new Metric("cluster_size", serversListed, true));
    all.add(new Metric("cluster_unhealthy", serversAvoided, true));
    all.add(new Metric("conf_loaded", configsAccepted.sum(), false));
    all.add(new Metric("conf_invalid", configsInvalid.sum(), false));
    return all;
  }
}
