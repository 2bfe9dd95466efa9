package beaconturn.standin;

/**
 * What one cache server can do; all times in nanoseconds.
 *
 * @param speed its speed, 1 for the rated one
 * @param workers commands that it works on at once
 * @param queueCapacity commands that may wait for a worker; beyond them it turns away
 * @param capacityBytes bytes of objects that it holds
 * @param timeToLiveNanos how long an object lives
 * @param coldSpeedShare part of its speed that it has right after a start, 0 to 1
 * @param warmUpNanos how long it takes to warm up
 * @param overloadMultiple sent so many times what it can do at that moment ...
 * @param overloadNanos ... over so long, it collapses and stays down
 * @param maxConnections open ones that it takes; beyond them commands are turned away
 * @param connectWorkNanos work that a new connection costs it
 * @param multiplex commands of one connection that it works on at once
 * @param sharesFetches whether misses of one key share a fetch
 * @param cancelsRunningWork whether the end of a connection stops work that is running
 * @param loadReportFields names of the load report's figures: inflight, qps, latency_ms, x0; none
 *     for no report
 */
public record CacheServerSpec(
    double speed,
    int workers,
    int queueCapacity,
    long capacityBytes,
    long timeToLiveNanos,
    double coldSpeedShare,
    long warmUpNanos,
    double overloadMultiple,
    long overloadNanos,
    int maxConnections,
    long connectWorkNanos,
    int multiplex,
    boolean sharesFetches,
    boolean cancelsRunningWork,
    java.util.List<String> loadReportFields) {

  /** The part of its full speed that a server born at a time has; 1 where it started long ago. */
  public double warmth(long born, long now) {
    if (born == 0 || warmUpNanos <= 0) {
      return 1;
    }
    return Math.min(
        1, coldSpeedShare + (1 - coldSpeedShare) * Math.max(0, now - born) / warmUpNanos);
  }
}
