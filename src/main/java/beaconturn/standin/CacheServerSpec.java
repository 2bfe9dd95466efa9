package beaconturn.standin;

/**
 * Capacity and behaviour of one cache server.
 *
 * @param speed relative to the rated speed, which is 1
 * @param workers commands that are processed at once
 * @param queueCapacity commands that may wait for a worker; further ones are rejected
 * @param capacityBytes total size of the objects that are kept
 * @param timeToLiveNanos lifetime of an object
 * @param coldSpeedShare share of the full speed right after a start, 0 to 1
 * @param warmUpNanos time from a start to the full speed
 * @param overloadMultiple a cold server collapses, and stays down, if the work that is offered
 *     within {@code overloadNanos} exceeds this multiple of its current capacity
 * @param overloadNanos length of the window in which offered work is summed
 * @param maxConnections commands of connections beyond this number are rejected
 * @param connectWorkNanos work that a new connection costs
 * @param multiplex commands of one connection that are processed at once
 * @param sharesFetches whether concurrent misses of one key share a fetch from the origin
 * @param cancelsRunningWork whether the end of a connection stops its running work
 * @param loadReportFields names of the load report's fields (inflight, qps, latency_ms, x0); empty
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

  /**
   * Returns the share of the full speed that a server has now.
   *
   * @param startedAtNanos when the server started; 0 if it has long been warm
   */
  public double warmth(long startedAtNanos, long nowNanos) {
    if (startedAtNanos == 0 || warmUpNanos <= 0) {
      return 1;
    }
    return Math.min(
        1,
        coldSpeedShare
            + (1 - coldSpeedShare) * Math.max(0, nowNanos - startedAtNanos) / warmUpNanos);
  }
}
