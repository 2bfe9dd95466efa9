package beaconturn.decision;

/** How a router treats a known server. */
public enum ServerStatus {
  /** Gets regular requests. */
  ACTIVE,
  /** Started recently and is limited by {@link SlowStart}. */
  WARMING,
  /** Draining according to the endpoint list; gets no new requests. */
  DRAINING,
  /** No longer listed. */
  GONE,
  /** Excluded by an operator or by a configuration that all routers have agreed on. */
  EXCLUDED,
  /** Gets trial requests only; see {@link OutlierDetector}. */
  EJECTED
}
