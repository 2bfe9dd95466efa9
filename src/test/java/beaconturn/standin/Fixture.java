package beaconturn.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A small world on a clock that the test turns, and lines that keep what they are told. */
final class Fixture implements HistoryRecorder {
  static final long MILLI = 1_000_000;
  static final long SECOND = 1000 * MILLI;
  static final CacheServerSpec SHAPE =
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
  final List<String> told = new ArrayList<>();
  final EventScheduler agenda = new EventScheduler(0);
  final EmulatedFleet world;
  private long turn;

  Fixture(int caches, CacheServerSpec shape) {
    this(caches, shape, new OriginModel.Spec(4, 4, 20 * MILLI, 2, SECOND, 2 * SECOND));
  }

  Fixture(int caches, CacheServerSpec shape, OriginModel.Spec origin) {
    List<EmulatedFleet.Member> fleet = new ArrayList<>();
    for (int i = 0; i < caches; i++) {
      fleet.add(
          new EmulatedFleet.Member(
              "c" + (i + 1), i % 2 == 0 ? "east" : "west", "kind", i / 2, 1, shape));
    }
    List<WorkCost> works =
        List.of(
            new WorkCost("read", 10 * MILLI, 100, false, false, 0, "all"),
            new WorkCost("put", 10 * MILLI, 100, true, true, 3 * SECOND, "zone"),
            new WorkCost("ack", 10 * MILLI, 100, true, false, 0, "all"));
    world =
        new EmulatedFleet(
            agenda,
            new EmulatedFleet.Spec(fleet, origin, works, SECOND, 500 * MILLI),
            new RandomSources(7),
            this);
  }

  /** One connection: what came over it, in order. */
  final class Connection implements CacheServerConnection {
    final List<CacheResponse> replies = new ArrayList<>();
    private final CacheServerModel.Session session;
    boolean broken;

    Connection(CacheServerModel cache) {
      session = cache.open(this, 0, 1);
    }

    @Override
    public void respond(CacheResponse response) {
      replies.add(response);
    }

    @Override
    public void reset() {
      broken = true;
      session.connectionClosed(++turn);
    }

    void hangUp() {
      session.connectionClosed(++turn);
    }

    Connection get(String key, String id) {
      return command("read", key, id, null, 5 * SECOND);
    }

    Connection put(String key, String id, String once) {
      return command("put", key, id, once, 5 * SECOND);
    }

    Connection command(String type, String key, String id, String once, long patience) {
      session.command(
          new CacheCommand(
              world.nextCommand(),
              key,
              id,
              type,
              !type.equals("read"),
              once,
              patience,
              0,
              agenda.now(),
              ++turn));
      return this;
    }

    String kinds() {
      return String.join(" ", replies.stream().map(Fixture::kind).toList());
    }
  }

  static String kind(CacheResponse reply) {
    return reply instanceof CacheResponse.Value value
        ? value.outcome().name().toLowerCase(Locale.ROOT)
        : reply.getClass().getSimpleName().toLowerCase(Locale.ROOT);
  }

  Connection to(int place) {
    return new Connection(world.server(place));
  }

  void pass(long nanos) {
    agenda.advance(agenda.now() + nanos);
  }

  @Override
  public void overloaded(long at, String server) {
    told.add(server + " collapsed");
  }

  @Override
  public void commandExecuted(long at, CacheCommand command, boolean repeat) {
    told.add(command.id() + (repeat ? " repeated" : " ran"));
  }

  @Override
  public void routerNotified(long at, int router, String server, EndpointListing.Health health, long born) {
    told.add("told " + router + " " + server + " " + health);
  }
}
