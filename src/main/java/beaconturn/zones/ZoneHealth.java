package beaconturn.zones;

/** Health of a zone in the aggregated evidence, or as seen from one zone. */
public enum ZoneHealth {
  /** Most attempts succeed. */
  GOOD,
  /** There are too few observations. */
  UNKNOWN,
  /** All routers that send requests there see it as unhealthy. */
  BROKEN,
  /** Only some zones see it as unhealthy: the network between them and the zone is faulty. */
  LINK,
  /** No router has it in its endpoint list. */
  NOT_LISTED,
  /** Only some routers have it in their endpoint lists: some lists are out of date. */
  LATE_LIST
}
