package beaconturn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * What operators do with the agreement: each order reads what stands in the store and takes one
 * step, which holds only where that is still so. Where the answer to a step is lost it looks
 * whether the step came about.
 */
public final class Desk {
  private final Keys keys;
  private final Steps steps;
  private final Store store;

  /** Asks the store and waits for its answer. */
  public interface Store {
    /** The answer, which may be that there was none. */
    Answer ask(Call call);
  }

  /**
   * All there is to see.
   *
   * @param seen what is in force and proposed
   * @param seats all routers
   * @param alive the keys of those that hold leases
   * @param waiting who the step at hand waits for
   */
  public record View(Snapshot seen, List<Seat> seats, List<String> alive, List<String> waiting) {}

  /** A version of the past, and why it was turned down, or null. */
  public record Past(Version version, String refused) {}

  /** A desk at a store, for one fleet. */
  public Desk(Keys keys, Store store) {
    this.keys = keys;
    this.steps = new Steps(keys);
    this.store = store;
  }

  private Answer.Given given(Call call) throws AgreementException {
    return given(store, call);
  }

  /**
   * What the store has answered; no answer is an exception, whose message begins alike everywhere.
   */
  public static Answer.Given given(Store store, Call call) throws AgreementException {
    Answer answer = store.ask(call);
    if (answer instanceof Answer.Given given) {
      return given;
    }
    throw new AgreementException("the store does not answer: " + ((Answer.Failed) answer).why());
  }

  private Snapshot look() throws AgreementException {
    return Snapshot.of(keys, given(new Call.Read(keys.common())));
  }

  /** Begins the agreement in an empty store. */
  public String begin(String identity) throws AgreementException {
    Answer answer = store.ask(steps.begin(identity));
    String now = look().identity();
    if (!now.equals(identity)) {
      throw new AgreementException(
          now.isEmpty()
              ? "not begun, try again: " + why(answer)
              : "agreement " + now + " stands in this store");
    }
    return "agreement " + identity + " is begun";
  }

  private static String why(Answer answer) {
    return answer instanceof Answer.Failed failed
        ? failed.why()
        : "the store holds other things there";
  }

  /** Proposes a content made of the one in force; the number of the version. */
  public long propose(UnaryOperator<Content> change, String author, String reason, long atMillis)
      throws AgreementException {
    Snapshot seen = look();
    long number = nextNumber();
    Steps.Step step =
        steps.propose(
            seen, number, change.apply(seen.current().content()), author, reason, atMillis);
    Answer answer = store.ask(step.swap());
    if (answer instanceof Answer.Given given && given.held()) {
      return number;
    }
    String digest =
        Version.of(number, change.apply(seen.current().content()), author, reason, atMillis)
            .digest();
    boolean came =
        history().stream()
            .anyMatch(p -> p.version().number() == number && p.version().digest().equals(digest));
    if (!came) {
      throw new AgreementException(
          answer instanceof Answer.Failed failed
              ? "not proposed: " + failed.why()
              : "not proposed: somebody else was faster");
    }
    return number;
  }

  /** The number of the version that is proposed next. */
  public long nextNumber() throws AgreementException {
    return 1 + history().stream().mapToLong(p -> p.version().number()).max().orElse(0);
  }

  /** Proposes the content of the version before the one in force. */
  public long back(String author, String reason, long atMillis) throws AgreementException {
    Version previous = look().previous();
    return propose(now -> previous.content(), author, reason, atMillis);
  }

  /** Takes back what is proposed. */
  public void withdraw(String reason) throws AgreementException {
    take(steps.withdraw(look(), reason));
  }

  /** Takes a router off the roster that is known to be dead; one that holds its lease is not. */
  public void lost(String name) throws AgreementException {
    Answer.Given roster = given(new Call.Read(keys.rosters() + name + "/"));
    if (roster.pairs().isEmpty()) {
      throw new AgreementException("there is no router '" + name + "' on the roster");
    }
    if (!given(new Call.Read(keys.alives() + name + "/")).pairs().isEmpty()) {
      throw new AgreementException("router '" + name + "' holds its lease: it is alive");
    }
    List<Call.Condition> conditions = new ArrayList<>();
    List<Call.Change> changes = new ArrayList<>();
    for (Answer.Pair pair : roster.pairs()) {
      Seat seat = Seat.of(pair.value());
      conditions.add(new Call.Condition.Unchanged(keys.alive(seat.name(), seat.incarnation()), 0));
      changes.add(new Call.Change.Delete(pair.key()));
    }
    take(
        new Steps.Step(new Call.Swap(conditions, changes), "router " + name + " is declared lost"));
  }

  private void take(Steps.Step step) throws AgreementException {
    if (!given(step.swap()).held()) {
      throw new AgreementException("not done, things have changed meanwhile: look again");
    }
  }

  /** What stands in the store now. */
  public View view() throws AgreementException {
    Snapshot seen = look();
    Answer.Given roster = given(new Call.Read(keys.rosters()));
    Answer.Given alive = given(new Call.Read(keys.alives()));
    List<Seat> seats = Steps.seats(roster);
    return new View(
        seen,
        seats,
        alive.pairs().stream().map(Answer.Pair::key).toList(),
        steps.waiting(seen, seats, alive));
  }

  /** Whether the router of that line holds its lease. */
  public boolean alive(View view, Seat seat) {
    return view.alive().contains(keys.alive(seat.name(), seat.incarnation()));
  }

  /** What routers that hold leases make of the cache servers, by the router's name. */
  public SortedMap<String, Sight> sights() throws AgreementException {
    SortedMap<String, Sight> all = new TreeMap<>();
    for (Answer.Pair pair : given(new Call.Read(keys.sights())).pairs()) {
      // Two processes of one router see alike: one voice.
      String name = pair.key().substring(keys.sights().length(), pair.key().lastIndexOf('/'));
      all.put(name, Sight.of(pair.value()));
    }
    return all;
  }

  /** All versions, the oldest first. */
  public List<Past> history() throws AgreementException {
    List<Answer.Pair> pairs = given(new Call.Read(keys.histories())).pairs();
    List<Past> all = new ArrayList<>();
    for (Answer.Pair pair : pairs) {
      if (!pair.key().endsWith(".no")) {
        Version version = Texts.version(pair.value());
        all.add(
            new Past(
                version,
                pairs.stream()
                    .filter(p -> p.key().equals(keys.refusal(version.number())))
                    .map(Answer.Pair::value)
                    .findFirst()
                    .orElse(null)));
      }
    }
    return all;
  }
}
