package beaconturn.standin;

/**
 * What one cache server can do; all times in nanoseconds.
 *
 * @param speed its speed, 1 for the rated one
 * @param workers commands that it works on at once
 * @param room commands that may wait for a worker; beyond them it turns away
 * @param capacity bytes of objects that it holds
 * @param timeToLive how long an object lives
 * @param coldShare part of its speed that it has right after a start, 0 to 1
 * @param coldFor how long it takes to warm up
 * @param fallMultiple sent so many times what it can do at that moment ...
 * @param fallAfter ... over so long, it collapses and stays down
 * @param connections open ones that it takes; beyond them commands are turned away
 * @param connectWork work that a new connection costs it
 * @param multiplex commands of one connection that it works on at once
 * @param shareFetch whether misses of one key share a fetch
 * @param cancel whether the end of a connection stops work that is running
 * @param reports names of the load report's figures: inflight, qps, latency_ms, x0; none for no
 *     report
 */
public record CacheServerSpec(
    double speed,
    int workers,
    int room,
    long capacity,
    long timeToLive,
    double coldShare,
    long coldFor,
    double fallMultiple,
    long fallAfter,
    int connections,
    long connectWork,
    int multiplex,
    boolean shareFetch,
    boolean cancel,
    java.util.List<String> reports) {

  /** The part of its full speed that a server born at a time has; 1 where it started long ago. */
  public double warmth(long born, long now) {
    if (born == 0 || coldFor <= 0) {
      return 1;
    }
    return Math.min(1, coldShare + (1 - coldShare) * Math.max(0, now - born) / coldFor);
  }
}
