package beaconturn.cli;

import beaconturn.agreement.StoreRequest;
import beaconturn.release.InstanceKind;
import beaconturn.release.ReleaseFleet;
import beaconturn.release.RolloutCodec;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutSnapshot;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Reports the metrics of an instance to the store: often while a release compares them. Where plans
 * are held to the load of the fleet it reports between releases too, so seldom that the whole fleet
 * makes a bounded number of writes. Confined to the agent's thread.
 */
final class AgentMetricsReporter {
  private static final long READING_INTERVAL_MILLIS = 100;

  /** Means need many readings, of which the store need not hold each. */
  private static final int READINGS_PER_REPORT = 2;

  private static final long IDLE_INTERVAL_MILLIS = 5000;

  /** Idle interval for each router of the fleet: together they make twenty writes a second. */
  private static final long IDLE_INTERVAL_MILLIS_PER_ROUTER = 50;

  private final InstanceMetricsReader reader;
  private final AgentStore store;
  private final String key;
  private long nextReadingNanos;
  private int readings;
  private String lastReport = "";

  AgentMetricsReporter(
      InstanceMetricsReader reader, AgentStore store, RolloutKeys keys, String instanceId) {
    this.reader = reader;
    this.store = store;
    this.key = keys.sample(instanceId);
  }

  /** Reads and reports the metrics if that is due; the report is bound to the lease. */
  void report(RolloutSnapshot snapshot, long leaseId) {
    long nowNanos = System.nanoTime();
    ReleaseFleet.Group routers = snapshot.fleet().group(InstanceKind.ROUTER);
    boolean idle = snapshot.state().isOver();
    boolean notNeeded = idle && routers.capacity().toleratedFailures() < 0;
    if (nowNanos < nextReadingNanos || notNeeded) {
      return;
    }
    long intervalMillis =
        idle ? idleIntervalMillis(routers.instanceIds().size()) : READING_INTERVAL_MILLIS;
    nextReadingNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(intervalMillis);
    if (!idle) {
      readings++;
    }
    boolean reportDue = idle || readings % READINGS_PER_REPORT == 0;
    try {
      String text = RolloutCodec.encode(reader.read());
      if (reportDue && !text.equals(lastReport)) {
        lastReport = text;
        store.write(
            new StoreRequest.Transaction(
                List.of(), List.of(new StoreRequest.Change.Put(key, text, leaseId))));
      }
    } catch (IOException e) {
      // The instance stops or starts; the last report stands until it answers again.
      lastReport = "";
    }
  }

  private static long idleIntervalMillis(int routers) {
    return Math.max(IDLE_INTERVAL_MILLIS, routers * IDLE_INTERVAL_MILLIS_PER_ROUTER);
  }
}
