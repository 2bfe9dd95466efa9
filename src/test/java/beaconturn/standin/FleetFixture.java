package beaconturn.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A small fleet on a manual clock, with connections that keep the responses they receive. */
final class FleetFixture implements HistoryRecorder {
  static final long MILLI = 1_000_000;
  static final long SECOND = 1000 * MILLI;
  static final CacheServerSpec SPEC =
      new CacheServerSpec(
          1,
          2,
          2,
          10_000,
          10 * SECOND,
          0.2,
          10 * SECOND,
          4,
          SECOND,
          3,
          0,
          8,
          true,
          true,
          List.of());
  final List<String> events = new ArrayList<>();
  final EventScheduler scheduler = new EventScheduler(0);
  final EmulatedFleet fleet;
  private long turn;

  FleetFixture(int serverCount, CacheServerSpec spec) {
    this(serverCount, spec, new OriginModel.Spec(4, 4, 20 * MILLI, 2, SECOND, 2 * SECOND));
  }

  FleetFixture(int serverCount, CacheServerSpec spec, OriginModel.Spec origin) {
    List<EmulatedFleet.Member> members = new ArrayList<>();
    for (int i = 0; i < serverCount; i++) {
      members.add(
          new EmulatedFleet.Member(
              "c" + (i + 1), i % 2 == 0 ? "east" : "west", "kind", i / 2, 1, spec));
    }
    List<WorkCost> costs =
        List.of(
            new WorkCost("read", 10 * MILLI, 100, false, false, 0, "all"),
            new WorkCost("put", 10 * MILLI, 100, true, true, 3 * SECOND, "zone"),
            new WorkCost("ack", 10 * MILLI, 100, true, false, 0, "all"));
    fleet =
        new EmulatedFleet(
            scheduler,
            new EmulatedFleet.Spec(members, origin, costs, SECOND, 500 * MILLI),
            new RandomSources(7),
            this);
  }

  /** A connection to a cache server, with the responses in the order in which they were sent. */
  final class Connection implements CacheServerConnection {
    final List<CacheResponse> responses = new ArrayList<>();
    private final CacheServerModel.Session session;
    boolean wasReset;

    Connection(CacheServerModel server) {
      session = server.open(this, 0, 1);
    }

    @Override
    public void respond(CacheResponse response) {
      responses.add(response);
    }

    @Override
    public void reset() {
      wasReset = true;
      session.connectionClosed(++turn);
    }

    void close() {
      session.connectionClosed(++turn);
    }

    Connection get(String key, String id) {
      return command("read", key, id, null, 5 * SECOND);
    }

    Connection put(String key, String id, String idempotencyKey) {
      return command("put", key, id, idempotencyKey, 5 * SECOND);
    }

    Connection command(
        String requestClass, String key, String id, String idempotencyKey, long timeoutNanos) {
      session.command(
          new CacheCommand(
              fleet.nextCommand(),
              key,
              id,
              requestClass,
              !requestClass.equals("read"),
              idempotencyKey,
              timeoutNanos,
              0,
              scheduler.now(),
              ++turn));
      return this;
    }

    String outcomes() {
      return String.join(" ", responses.stream().map(FleetFixture::outcome).toList());
    }
  }

  static String outcome(CacheResponse response) {
    return response instanceof CacheResponse.Value value
        ? value.outcome().name().toLowerCase(Locale.ROOT)
        : response.getClass().getSimpleName().toLowerCase(Locale.ROOT);
  }

  Connection connect(int server) {
    return new Connection(fleet.server(server));
  }

  void advance(long nanos) {
    scheduler.advance(scheduler.now() + nanos);
  }

  @Override
  public void overloaded(long atNanos, String server) {
    events.add(server + " collapsed");
  }

  @Override
  public void commandExecuted(long atNanos, CacheCommand command, boolean repeat) {
    events.add(command.id() + (repeat ? " repeated" : " ran"));
  }

  @Override
  public void routerNotified(
      long atNanos, int router, String server, EndpointListing.Health health, long startedAtNanos) {
    events.add("notified " + router + " " + server + " " + health);
  }
}
