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
public final class ConfigAdmin {
  private final AgreementKeys keys;
  private final AgreementTransactions steps;
  private final Store store;

  /** Asks the store and waits for its answer. */
  public interface Store {
    /** The answer, which may be that there was none. */
    StoreResponse ask(StoreRequest call);
  }

  /**
   * All there is to see.
   *
   * @param seen what is in force and proposed
   * @param seats all routers
   * @param alive the keys of those that hold leases
   * @param waiting who the step at hand waits for
   */
  public record View(
      AgreementSnapshot seen, List<MemberRecord> seats, List<String> alive, List<String> waiting) {}

  /** A version of the past, and why it was turned down, or null. */
  public record Past(ConfigVersion version, String refused) {}

  /** A desk at a store, for one fleet. */
  public ConfigAdmin(AgreementKeys keys, Store store) {
    this.keys = keys;
    this.steps = new AgreementTransactions(keys);
    this.store = store;
  }

  private StoreResponse.Given given(StoreRequest call) throws AgreementException {
    return given(store, call);
  }

  /**
   * What the store has answered; no answer is an exception, whose message begins alike everywhere.
   */
  public static StoreResponse.Given given(Store store, StoreRequest call)
      throws AgreementException {
    StoreResponse answer = store.ask(call);
    if (answer instanceof StoreResponse.Given given) {
      return given;
    }
    throw new AgreementException(
        "the store does not answer: " + ((StoreResponse.Failed) answer).why());
  }

  private AgreementSnapshot look() throws AgreementException {
    return AgreementSnapshot.of(keys, given(new StoreRequest.Read(keys.common())));
  }

  /** Begins the agreement in an empty store. */
  public String begin(String identity) throws AgreementException {
    StoreResponse answer = store.ask(steps.begin(identity));
    String now = look().identity();
    if (!now.equals(identity)) {
      throw new AgreementException(
          now.isEmpty()
              ? "not begun, try again: " + why(answer)
              : "agreement " + now + " stands in this store");
    }
    return "agreement " + identity + " is begun";
  }

  private static String why(StoreResponse answer) {
    return answer instanceof StoreResponse.Failed failed
        ? failed.why()
        : "the store holds other things there";
  }

  /** Proposes a content made of the one in force; the number of the version. */
  public long propose(
      UnaryOperator<ConfigContent> change, String author, String reason, long atMillis)
      throws AgreementException {
    AgreementSnapshot seen = look();
    long number = nextNumber();
    AgreementTransactions.Step step =
        steps.propose(
            seen, number, change.apply(seen.current().content()), author, reason, atMillis);
    StoreResponse answer = store.ask(step.swap());
    if (answer instanceof StoreResponse.Given given && given.held()) {
      return number;
    }
    String digest =
        ConfigVersion.of(number, change.apply(seen.current().content()), author, reason, atMillis)
            .digest();
    boolean came =
        history().stream()
            .anyMatch(p -> p.version().number() == number && p.version().digest().equals(digest));
    if (!came) {
      throw new AgreementException(
          answer instanceof StoreResponse.Failed failed
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
    ConfigVersion previous = look().previous();
    return propose(now -> previous.content(), author, reason, atMillis);
  }

  /** Takes back what is proposed. */
  public void withdraw(String reason) throws AgreementException {
    take(steps.withdraw(look(), reason));
  }

  /** Takes a router off the roster that is known to be dead; one that holds its lease is not. */
  public void lost(String name) throws AgreementException {
    StoreResponse.Given roster = given(new StoreRequest.Read(keys.rosters() + name + "/"));
    if (roster.pairs().isEmpty()) {
      throw new AgreementException("there is no router '" + name + "' on the roster");
    }
    if (!given(new StoreRequest.Read(keys.alives() + name + "/")).pairs().isEmpty()) {
      throw new AgreementException("router '" + name + "' holds its lease: it is alive");
    }
    List<StoreRequest.Condition> conditions = new ArrayList<>();
    List<StoreRequest.Change> changes = new ArrayList<>();
    for (StoreResponse.Pair pair : roster.pairs()) {
      MemberRecord seat = MemberRecord.of(pair.value());
      conditions.add(
          new StoreRequest.Condition.Unchanged(keys.alive(seat.name(), seat.incarnation()), 0));
      changes.add(new StoreRequest.Change.Delete(pair.key()));
    }
    take(
        new AgreementTransactions.Step(
            new StoreRequest.Swap(conditions, changes), "router " + name + " is declared lost"));
  }

  private void take(AgreementTransactions.Step step) throws AgreementException {
    if (!given(step.swap()).held()) {
      throw new AgreementException("not done, things have changed meanwhile: look again");
    }
  }

  /** What stands in the store now. */
  public View view() throws AgreementException {
    AgreementSnapshot seen = look();
    StoreResponse.Given roster = given(new StoreRequest.Read(keys.rosters()));
    StoreResponse.Given alive = given(new StoreRequest.Read(keys.alives()));
    List<MemberRecord> seats = AgreementTransactions.seats(roster);
    return new View(
        seen,
        seats,
        alive.pairs().stream().map(StoreResponse.Pair::key).toList(),
        steps.waiting(seen, seats, alive));
  }

  /** Whether the router of that line holds its lease. */
  public boolean alive(View view, MemberRecord seat) {
    return view.alive().contains(keys.alive(seat.name(), seat.incarnation()));
  }

  /** What routers that hold leases make of the cache servers, by the router's name. */
  public SortedMap<String, EndpointView> sights() throws AgreementException {
    SortedMap<String, EndpointView> all = new TreeMap<>();
    for (StoreResponse.Pair pair : given(new StoreRequest.Read(keys.sights())).pairs()) {
      // Two processes of one router see alike: one voice.
      String name = pair.key().substring(keys.sights().length(), pair.key().lastIndexOf('/'));
      all.put(name, EndpointView.of(pair.value()));
    }
    return all;
  }

  /** All versions, the oldest first. */
  public List<Past> history() throws AgreementException {
    List<StoreResponse.Pair> pairs = given(new StoreRequest.Read(keys.histories())).pairs();
    List<Past> all = new ArrayList<>();
    for (StoreResponse.Pair pair : pairs) {
      if (!pair.key().endsWith(".no")) {
        ConfigVersion version = ConfigCodec.version(pair.value());
        all.add(
            new Past(
                version,
                pairs.stream()
                    .filter(p -> p.key().equals(keys.refusal(version.number())))
                    .map(StoreResponse.Pair::value)
                    .findFirst()
                    .orElse(null)));
      }
    }
    return all;
  }
}
