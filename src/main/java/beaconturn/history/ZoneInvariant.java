package beaconturn.history;

/** An invariant of zones, which has something to check only where routers follow one plan. */
abstract class ZoneInvariant extends Invariant {
  ZoneInvariant(String name, String summary) {
    super(name, summary);
  }

  @Override
  final void evaluate(HistoryIndex history) {
    ZoneBounds bounds = history.bounds().zones();
    if (bounds != null && bounds.planned()) {
      evaluate(history, bounds, new ZoneSendHistory(history));
    }
  }

  /** Goes through the history. */
  abstract void evaluate(HistoryIndex history, ZoneBounds bounds, ZoneSendHistory traffic);
}
