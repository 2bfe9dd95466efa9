package beaconturn.stats;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The metrics of one process from its start on; any thread, without a lock. What a class that the
 * settings have no more had counted stays counted.
 */
public class Counters implements RequestMetrics {
  /** The ends of requests that are shown, in the order of the output. */
  private static final List<RequestEnd> SHOWN_ENDS =
      List.of(RequestEnd.ANSWERED, RequestEnd.REJECTED, RequestEnd.FAILED);

  /** How the requests of one class ended. */
  private static final class RequestClassCounters {
    private final LongAdder answered = new LongAdder();
    private final LongAdder rejected = new LongAdder();
    private final LongAdder failed = new LongAdder();

    private LongAdder of(RequestEnd end) {
      return switch (end) {
        case ANSWERED -> answered;
        case REJECTED -> rejected;
        case FAILED -> failed;
        case ABANDONED -> throw new IllegalArgumentException("not counted by class");
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

  /**
   * All metrics as they are now, in a fixed order; what is counted meanwhile may be in some and not
   * others.
   */
  public List<Metric> read() {
    List<Metric> all = new ArrayList<>();
    for (RequestEnd end : SHOWN_ENDS) {
      classes.forEach(
          (name, counters) ->
              all.add(new Metric(end.metricName() + "." + name, counters.of(end).sum(), false)));
    }
    all.add(new Metric("sends", attemptsWritten.sum(), false));
    // An end may be summed before the accept that it belongs to.
    all.add(new Metric("current", Math.max(0, openRequests.sum()), true));
    all.add(new Metric("cluster_size", serversListed, true));
    all.add(new Metric("cluster_unhealthy", serversAvoided, true));
    all.add(new Metric("conf_loaded", configsAccepted.sum(), false));
    all.add(new Metric("conf_invalid", configsInvalid.sum(), false));
    return all;
  }
}
