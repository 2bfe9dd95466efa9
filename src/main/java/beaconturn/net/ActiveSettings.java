package beaconturn.net;

import beaconturn.core.RouterSettings;
import beaconturn.net.client.RequestParser;
import beaconturn.stats.RequestMetrics;

/**
 * The settings in force and the parser that reads requests under them. Read by any thread; replaced
 * by one thread at a time: by the routing thread where routers agree on a configuration, else by
 * the thread that reloads.
 */
final class ActiveSettings {
  private final RequestMetrics metrics;
  private volatile RouterSettings settings;
  private volatile RequestParser parser;

  /**
   * No settings before the first {@link #activate}; each class of requests is declared to the
   * metrics.
   */
  ActiveSettings(RequestMetrics metrics) {
    this.metrics = metrics;
  }

  /** Requests are read under these settings from here on. */
  void activate(RouterSettings next) {
    RouterSettings before = settings == null ? next : settings;
    settings = next;
    next.classNames().forEach(metrics::declareClass);
    parser = new RequestParser(next, before, metrics);
  }

  /** The settings in force. */
  RouterSettings current() {
    return settings;
  }

  /** Reads requests under the settings in force. */
  RequestParser parser() {
    return parser;
  }
}
