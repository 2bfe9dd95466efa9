package beaconturn.decision;

/** What a router makes of a server that it knows. */
public enum ServerStatus {
  /** Takes what the ring gives it. */
  ACTIVE,
  /** Started a while ago, and gets no more than a cold server may. */
  WARMING,
  /** Listed as draining. */
  DRAINING,
  /** Not listed any more. */
  GONE,
  /** Left out by hand, or by what all routers have agreed on. */
  EXCLUDED,
  /** Passed over but for trials. */
  EJECTED
}
