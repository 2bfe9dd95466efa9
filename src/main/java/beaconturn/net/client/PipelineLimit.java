package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.core.RateLimitedLog;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Logger;

/**
 * Limits the commands in flight, whose requests and small responses take memory: for each client
 * connection, and for all together. Beyond the second limit each connection may have one command in
 * flight, so that clients that pipeline pay for the shortage and others do not. For any thread.
 */
public final class PipelineLimit {
  private static final Logger LOG = Logger.getLogger(PipelineLimit.class.getName());
  private static final int BURST_LINES = 3;
  private static final double LINES_PER_SECOND = 0.2;

  /** The further commands that a connection may send while one is in flight. */
  private static final int MAX_PIPELINED = 32;

  private final int limit;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final RateLimitedLog shortages = new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);

  /** Creates a limit on the commands in flight on all connections. */
  public PipelineLimit(int limit) {
    this.limit = limit;
  }

  /** The number of commands in flight on all connections. */
  int inFlight() {
    return inFlight.get();
  }

  /** Counts a command whose response is outstanding from now on. */
  void started(Clock clock) {
    if (inFlight.incrementAndGet() == limit) {
      shortages.log(
          clock.now(),
          () -> limit + " commands are in flight: each connection has one at a time meanwhile");
    }
  }

  /** Counts commands whose responses are no longer outstanding. */
  void ended(int commands) {
    inFlight.addAndGet(-commands);
  }

  /** Whether a connection with that many commands in flight may send another one. */
  boolean permitsNext(int inFlightOnConnection) {
    return inFlightOnConnection == 0
        || (inFlightOnConnection <= MAX_PIPELINED && inFlight.get() < limit);
  }
}
