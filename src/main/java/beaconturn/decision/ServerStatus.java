package beaconturn.decision;

/** How a router treats a server that it knows. */
public enum ServerStatus {
  /** Gets what the ring gives it. */
  ACTIVE,
  /** Has started a while ago, and gets no more than {@link SlowStart} allows. */
  WARMING,
  /** Draining by the endpoint list: gets no new requests. */
  DRAINING,
  /** Not listed any more. */
  GONE,
  /** Excluded by an operator, or by what all routers have agreed on. */
  EXCLUDED,
  /** Passed over but for trials; see {@link OutlierDetector}. */
  EJECTED
}
