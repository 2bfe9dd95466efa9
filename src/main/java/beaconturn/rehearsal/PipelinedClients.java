package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections of all streams whose clients send several commands at once: a few to each router.
 */
final class PipelinedClients {
  /** Connections of one stream to one router. */
  private static final int WIDTH = 4;

  private static final int CHANCE_SHIFT = 17;
  private final Scenario scenario;
  private final List<InetSocketAddress> routers;
  private final Clock clock;
  private final History account;
  private final SequentialClient.Owner owner;
  // Guarded by this:
  private final Map<Place, PipelinedClient> lines = new HashMap<>();
  private int made;

  private record Place(int stream, int router, int place) {}

  PipelinedClients(
      Scenario scenario,
      List<InetSocketAddress> routers,
      Clock clock,
      History account,
      SequentialClient.Owner owner) {
    this.scenario = scenario;
    this.routers = routers;
    this.clock = clock;
    this.account = account;
    this.owner = owner;
  }

  /**
   * Whether the connection for it stands: clients go on using it whatever the front says of the
   * router.
   */
  synchronized boolean connected(SequentialClient.Try one) {
    PipelinedClient line = lines.get(place(one));
    return line != null && line.connected();
  }

  /** Sends it on its connection, or on a new one where that is over. */
  synchronized void send(SequentialClient.Try one) {
    PipelinedClient line = lines.get(place(one));
    if (line == null || !line.ask(one)) {
      line =
          new PipelinedClient(
              routers.get(one.router()),
              ++made,
              clock,
              account,
              owner,
              scenario.clients().get(one.planned().stream()).conduct(),
              scenario.crowded(),
              scenario.seed());
      lines.put(place(one), line);
      line.ask(one);
      line.start();
    }
  }

  private static Place place(SequentialClient.Try one) {
    return new Place(
        one.planned().stream(),
        one.router(),
        (int) Long.remainderUnsigned(one.planned().chance() >>> CHANCE_SHIFT, WIDTH));
  }

  /** Ends all connections after what is open on them. */
  synchronized void finish() {
    new ArrayList<>(lines.values()).forEach(PipelinedClient::finish);
  }
}
