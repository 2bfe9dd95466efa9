package beaconturn.history;

/**
 * Checks that the load of a zone in each second stays below the maximum multiple of its capacity.
 */
final class ZoneLoadLimit extends ZoneInvariant {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final double HUNDREDTHS = 100.0;

  ZoneLoadLimit() {
    super("no-stampede", "no place is sent more than a stated multiple of what it can do");
  }

  @Override
  void evaluate(HistoryIndex history, ZoneBounds bounds, ZoneTraffic traffic) {
    traffic
        .loadBySecond()
        .forEach(
            (zone, loads) ->
                loads.forEach((second, load) -> check(bounds.maxZoneLoad(), zone, second, load)));
  }

  private void check(double maxLoad, String zone, long second, double load) {
    check(
        load <= maxLoad,
        second * NANOS_PER_SECOND,
        "",
        zone,
        "sent "
            + Math.round(HUNDREDTHS * load) / HUNDREDTHS
            + " times what its cache servers can do in a second");
  }
}
