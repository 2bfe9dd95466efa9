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
  private final CoordinationStore store;

  /** A desk at a store, for one fleet. */
  public ConfigAdmin(AgreementKeys keys, CoordinationStore store) {
    this.keys = keys;
    this.steps = new AgreementTransactions(keys);
    this.store = store;
  }

  private StoreResponse.Success requireSuccess(StoreRequest call) throws AgreementException {
    return requireSuccess(store, call);
  }

  /**
   * What the store has answered; no answer is an exception, whose message begins alike everywhere.
   */
  public static StoreResponse.Success requireSuccess(CoordinationStore store, StoreRequest call)
      throws AgreementException {
    StoreResponse answer = store.ask(call);
    if (answer instanceof StoreResponse.Success requireSuccess) {
      return requireSuccess;
    }
    throw new AgreementException(
        "the store does not answer: " + ((StoreResponse.Failed) answer).reason());
  }

  private AgreementSnapshot look() throws AgreementException {
    return AgreementSnapshot.of(keys, requireSuccess(new StoreRequest.Read(keys.commonPrefix())));
  }

  /** Begins the agreement in an empty store. */
  public String begin(String identity) throws AgreementException {
    StoreResponse answer = store.ask(steps.begin(identity));
    String now = look().agreementId();
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
        ? failed.reason()
        : "the store holds other things there";
  }

  /** Proposes a content made of the one in force; the number of the version. */
  public long propose(
      UnaryOperator<ConfigContent> change, String author, String reason, long atMillis)
      throws AgreementException {
    AgreementSnapshot seen = look();
    long number = nextVersionNumber();
    AgreementStep step =
        steps.propose(
            seen, number, change.apply(seen.current().content()), author, reason, atMillis);
    StoreResponse answer = store.ask(step.transaction());
    if (answer instanceof StoreResponse.Success requireSuccess && requireSuccess.conditionsHeld()) {
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
              ? "not proposed: " + failed.reason()
              : "not proposed: somebody else was faster");
    }
    return number;
  }

  /** The number of the version that is proposed next. */
  public long nextVersionNumber() throws AgreementException {
    return 1 + history().stream().mapToLong(p -> p.version().number()).max().orElse(0);
  }

  /** Proposes the content of the version before the one in force. */
  public long proposePrevious(String author, String reason, long atMillis)
      throws AgreementException {
    ConfigVersion previous = look().previous();
    return propose(now -> previous.content(), author, reason, atMillis);
  }

  /** Takes back what is proposed. */
  public void withdraw(String reason) throws AgreementException {
    take(steps.withdraw(look(), reason));
  }

  /** Takes a router off the roster that is known to be dead; one that holds its lease is not. */
  public void declareLost(String name) throws AgreementException {
    StoreResponse.Success roster =
        requireSuccess(new StoreRequest.Read(keys.membersPrefix() + name + "/"));
    if (roster.entries().isEmpty()) {
      throw new AgreementException("there is no router '" + name + "' on the roster");
    }
    if (!requireSuccess(new StoreRequest.Read(keys.liveMembersPrefix() + name + "/"))
        .entries()
        .isEmpty()) {
      throw new AgreementException("router '" + name + "' holds its lease: it is alive");
    }
    List<StoreRequest.Condition> conditions = new ArrayList<>();
    List<StoreRequest.Change> changes = new ArrayList<>();
    for (StoreResponse.Entry pair : roster.entries()) {
      MemberRecord seat = MemberRecord.decode(pair.value());
      conditions.add(
          new StoreRequest.Condition.Unchanged(
              keys.liveMember(seat.name(), seat.incarnation()), 0));
      changes.add(new StoreRequest.Change.Delete(pair.key()));
    }
    take(
        new AgreementStep(
            new StoreRequest.Transaction(conditions, changes),
            "router " + name + " is declared lost"));
  }

  private void take(AgreementStep step) throws AgreementException {
    if (!requireSuccess(step.transaction()).conditionsHeld()) {
      throw new AgreementException("not done, things have changed meanwhile: look again");
    }
  }

  /** What stands in the store now. */
  public AgreementStatus status() throws AgreementException {
    AgreementSnapshot seen = look();
    StoreResponse.Success roster = requireSuccess(new StoreRequest.Read(keys.membersPrefix()));
    StoreResponse.Success holdsLease =
        requireSuccess(new StoreRequest.Read(keys.liveMembersPrefix()));
    List<MemberRecord> seats = AgreementTransactions.members(roster);
    return new AgreementStatus(
        seen,
        seats,
        holdsLease.entries().stream().map(StoreResponse.Entry::key).toList(),
        steps.awaitedMembers(seen, seats, holdsLease));
  }

  /** Whether the router of that line holds its lease. */
  public boolean holdsLease(AgreementStatus status, MemberRecord seat) {
    return status.liveMemberKeys().contains(keys.liveMember(seat.name(), seat.incarnation()));
  }

  /** What routers that hold leases make of the cache servers, by the router's name. */
  public SortedMap<String, EndpointView> endpointViews() throws AgreementException {
    SortedMap<String, EndpointView> all = new TreeMap<>();
    for (StoreResponse.Entry pair :
        requireSuccess(new StoreRequest.Read(keys.endpointViewsPrefix())).entries()) {
      // Two processes of one router see alike: one voice.
      String name =
          pair.key().substring(keys.endpointViewsPrefix().length(), pair.key().lastIndexOf('/'));
      all.put(name, EndpointView.decode(pair.value()));
    }
    return all;
  }

  /** All versions, the oldest first. */
  public List<VersionHistoryEntry> history() throws AgreementException {
    List<StoreResponse.Entry> pairs =
        requireSuccess(new StoreRequest.Read(keys.versionsPrefix())).entries();
    List<VersionHistoryEntry> all = new ArrayList<>();
    for (StoreResponse.Entry pair : pairs) {
      if (!pair.key().endsWith(".no")) {
        ConfigVersion version = ConfigCodec.decodeVersion(pair.value());
        all.add(
            new VersionHistoryEntry(
                version,
                pairs.stream()
                    .filter(p -> p.key().equals(keys.rejectionReason(version.number())))
                    .map(StoreResponse.Entry::value)
                    .findFirst()
                    .orElse(null)));
      }
    }
    return all;
  }
}
