package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
import beaconturn.agreement.Desk;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/** A store for releases in memory: transactions with their conditions, and a count of revisions. */
final class Board implements Desk.Store {
  static final ReleaseKeys KEYS = new ReleaseKeys("/f");
  private final SortedMap<String, Answer.Pair> pairs = new TreeMap<>();
  private long revision = 1;
  String cluster = "1";

  /** Keys whose conditions are left out, as a planted defect. */
  Predicate<String> ignores = key -> false;

  @Override
  public Answer ask(Call call) {
    if (call instanceof Call.Read read) {
      return new Answer.Given(
          true,
          cluster,
          revision,
          new ArrayList<>(pairs.subMap(read.prefix(), read.prefix() + "\uffff").values()),
          0,
          0);
    }
    Call.Swap swap = (Call.Swap) call;
    boolean held = swap.conditions().stream().allMatch(this::holds);
    if (held && !swap.changes().isEmpty()) {
      revision++;
      swap.changes().forEach(this::change);
    }
    return new Answer.Given(held, cluster, revision, List.of(), 0, 0);
  }

  boolean held(Act act) {
    return ((Answer.Given) ask(act.swap())).held();
  }

  private boolean holds(Call.Condition condition) {
    Call.Condition.Unchanged u = (Call.Condition.Unchanged) condition;
    Answer.Pair pair = pairs.get(u.key());
    return ignores.test(u.key()) || (pair == null ? 0 : pair.changed()) == u.revision();
  }

  private void change(Call.Change change) {
    if (change instanceof Call.Change.Put put) {
      pairs.put(
          put.key(), new Answer.Pair(put.key(), put.value(), revision, revision, put.lease()));
    } else {
      pairs.remove(((Call.Change.Delete) change).key());
    }
  }

  Scene scene() {
    try {
      return Scene.of(KEYS, (Answer.Given) ask(new Call.Read(KEYS.all())));
    } catch (AgreementException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The seat of an agent whose lease has ended. */
  void agentGone(String id) {
    ask(new Call.Swap(List.of(), List.of(new Call.Change.Delete(KEYS.agent(id)))));
  }

  /** An agent that has its part's seat. */
  Agent agent(String id, String me, long timeout) {
    Agent agent = new Agent(KEYS, id, me, timeout, () -> "");
    Act seat = agent.take(scene(), 1);
    if (seat != null) {
      held(seat);
    }
    return agent;
  }

  /** The place of a driver whose lease has ended. */
  void driverGone() {
    ask(new Call.Swap(List.of(), List.of(new Call.Change.Delete(KEYS.driver()))));
  }

  /** What part has answered so far. */
  void health(String id, long good, long bad) {
    health(id, "", good, bad);
  }

  /** The same of a process. */
  void health(String id, String process, long good, long bad) {
    ask(
        new Call.Swap(
            List.of(),
            List.of(
                new Call.Change.Put(
                    KEYS.health(id), ReleaseTexts.of(Sample.of(process, good, bad)), 0))));
  }

  /**
   * What stands there, without revisions and history: two boards that say the same are the same.
   */
  String text() {
    StringBuilder out = new StringBuilder();
    pairs.values().stream()
        .filter(p -> !p.key().startsWith(KEYS.stories()) && !p.key().equals(KEYS.told()))
        .forEach(p -> out.append(p.key()).append('=').append(p.value()).append('\n'));
    return out.toString();
  }

  ReleaseDesk desk() {
    return new ReleaseDesk(KEYS, this, "op", () -> "");
  }

  /** Four routers in two sites, of which so many may be out. */
  static Board with(int mostOut, int ofSite) throws AgreementException {
    Board board = new Board();
    board
        .desk()
        .fleet(
            new Fleet(
                Map.of(
                    Kind.ROUTER,
                    new Fleet.Group(
                        mostOut,
                        ofSite,
                        new TreeMap<>(
                            Map.of("east", List.of("r1", "r2"), "west", List.of("r3", "r4")))))));
    return board;
  }

  /** Begins a release in these waves, watched for no time and compared by so many answers. */
  Board begin(int samples, List<List<String>> waves) throws AgreementException {
    desk()
        .start(new Plan(0, Kind.ROUTER, waves, 0, samples, Bounds.of(0.1), 1, 0, "why", null, ""));
    return this;
  }
}
