package beaconturn.net;

import beaconturn.core.RouterSettings;
import beaconturn.net.client.RequestParser;
import beaconturn.stats.RequestMetrics;

/**
 * The active settings and the parser that reads requests under them. Read by any thread; replaced
 * by one thread at a time: the routing thread where routers agree on a configuration, otherwise the
 * reloading thread.
 */
final class ActiveSettings {
  private final RequestMetrics metrics;
  private volatile RouterSettings settings;
  private volatile RequestParser parser;

  /**
   * Creates an object without settings; {@link #activate} sets the first ones and declares their
   * request classes to the metrics.
   */
  ActiveSettings(RequestMetrics metrics) {
    this.metrics = metrics;
  }

  /** Replaces the settings; requests parsed from now on use them. */
  void activate(RouterSettings next) {
    RouterSettings previous = settings == null ? next : settings;
    settings = next;
    next.classNames().forEach(metrics::declareClass);
    parser = new RequestParser(next, previous, metrics);
  }

  RouterSettings current() {
    return settings;
  }

  /** The parser for the active settings. */
  RequestParser parser() {
    return parser;
  }
}
