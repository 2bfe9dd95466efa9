package beaconturn.history;

/** An invariant of zones, which is checked only where routers follow one plan of zone weights. */
abstract class ZoneInvariant extends Invariant {
  ZoneInvariant(String name, String summary) {
    super(name, summary);
  }

  @Override
  final void evaluate(HistoryIndex history) {
    ZoneBounds bounds = history.bounds().zones();
    if (bounds != null && bounds.planned()) {
      evaluate(history, bounds, new ZoneTraffic(history));
    }
  }

  /** Checks the history. */
  abstract void evaluate(HistoryIndex history, ZoneBounds bounds, ZoneTraffic traffic);
}
