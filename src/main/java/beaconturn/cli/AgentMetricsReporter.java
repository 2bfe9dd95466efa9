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
 * Writes the metrics of an instance to the store: at a short interval while a release compares
 * them, and between releases at an interval that bounds the write rate of the whole fleet, if
 * disruption budgets depend on the fleet's load. Confined to the agent's thread.
 */
final class AgentMetricsReporter {
  private static final long READING_INTERVAL_MILLIS = 100;

  /** Averages need frequent readings, but not each reading needs a write. */
  private static final int READINGS_PER_REPORT = 2;

  private static final long IDLE_INTERVAL_MILLIS = 5000;

  /** Idle interval per router of the fleet: the fleet makes at most twenty writes per second. */
  private static final long IDLE_INTERVAL_MILLIS_PER_ROUTER = 50;

  private final InstanceMetricsReader reader;
  private final AgentStore store;
  private final String sampleKey;
  private long nextReadingNanos;
  private int readings;
  private String lastReport = "";

  AgentMetricsReporter(
      InstanceMetricsReader reader, AgentStore store, RolloutKeys keys, String instanceId) {
    this.reader = reader;
    this.store = store;
    this.sampleKey = keys.sample(instanceId);
  }

  /** Reads and reports the metrics if a reading is due; the report is bound to the lease. */
  void report(RolloutSnapshot snapshot, long leaseId) {
    long nowNanos = System.nanoTime();
    ReleaseFleet.Group routers = snapshot.fleet().group(InstanceKind.ROUTER);
    boolean idle = snapshot.state().isOver();
    boolean reportNotNeeded = idle && routers.capacity().toleratedFailures() < 0;
    if (nowNanos < nextReadingNanos || reportNotNeeded) {
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
      String report = RolloutCodec.encode(reader.read());
      if (reportDue && !report.equals(lastReport)) {
        lastReport = report;
        store.write(
            new StoreRequest.Transaction(
                List.of(), List.of(new StoreRequest.Change.Put(sampleKey, report, leaseId))));
      }
    } catch (IOException e) {
      // The instance is stopping or starting; its last report stays until it responds again.
      lastReport = "";
    }
  }

  private static long idleIntervalMillis(int routers) {
    return Math.max(IDLE_INTERVAL_MILLIS, routers * IDLE_INTERVAL_MILLIS_PER_ROUTER);
  }
}
