package beaconturn.agreement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * What operators do with the agreement: each operation reads what stands in the store and takes one
 * step, which holds only where that is still so. Where the response to a step is lost it looks
 * whether the step came about. For one thread, which waits for the store.
 *
 * <p>All methods throw an {@link AgreementException} if the store does not answer, or holds what
 * cannot be read.
 */
public final class ConfigAdmin {
  private final AgreementKeys keys;
  private final AgreementTransactions transactions;
  private final CoordinationStore store;

  /** The operations at a store, for one fleet. */
  public ConfigAdmin(AgreementKeys keys, CoordinationStore store) {
    this.keys = keys;
    this.transactions = new AgreementTransactions(keys);
    this.store = store;
  }

  private StoreResponse.Success requireSuccess(StoreRequest request) throws AgreementException {
    return requireSuccess(store, request);
  }

  /**
   * What the store has answered.
   *
   * @throws AgreementException if it has not; the message begins alike everywhere
   */
  public static StoreResponse.Success requireSuccess(CoordinationStore store, StoreRequest request)
      throws AgreementException {
    StoreResponse response = store.ask(request);
    if (response instanceof StoreResponse.Success success) {
      return success;
    }
    throw new AgreementException(
        "the store does not answer: " + ((StoreResponse.RequestFailed) response).reason());
  }

  private AgreementSnapshot readSnapshot() throws AgreementException {
    return AgreementSnapshot.of(keys, requireSuccess(new StoreRequest.Read(keys.commonPrefix())));
  }

  /**
   * Begins the agreement in an empty store; what was done, in words.
   *
   * @throws AgreementException if another agreement stands there
   */
  public String begin(String agreementId) throws AgreementException {
    StoreResponse response = store.ask(transactions.begin(agreementId));
    String found = readSnapshot().agreementId();
    if (found.isEmpty()) {
      throw new AgreementException("not begun, try again: " + reasonNotBegun(response));
    }
    if (!found.equals(agreementId)) {
      throw new AgreementException("agreement " + found + " stands in this store");
    }
    return "agreement " + agreementId + " is begun";
  }

  private static String reasonNotBegun(StoreResponse response) {
    return response instanceof StoreResponse.RequestFailed failed
        ? failed.reason()
        : "the store holds other things there";
  }

  /**
   * Proposes a content made of the one in force; the number of the version.
   *
   * @throws AgreementException if it is not proposed
   */
  public long propose(
      UnaryOperator<ConfigContent> change, String author, String reason, long atMillis)
      throws AgreementException {
    AgreementSnapshot snapshot = readSnapshot();
    long number = nextVersionNumber();
    ConfigContent content = change.apply(snapshot.current().content());
    AgreementStep step = transactions.propose(snapshot, number, content, author, reason, atMillis);
    StoreResponse response = store.ask(step.transaction());
    if (response instanceof StoreResponse.Success success && success.conditionsHeld()) {
      return number;
    }
    // The response may be lost, or that of a transaction that was sent twice.
    ConfigVersion proposed = ConfigVersion.of(number, content, author, reason, atMillis);
    if (history().stream().noneMatch(entry -> entry.version().isSameAs(proposed))) {
      throw new AgreementException(
          response instanceof StoreResponse.RequestFailed failed
              ? "not proposed: " + failed.reason()
              : "not proposed: somebody else was faster");
    }
    return number;
  }

  /** The number of the version that is proposed next. */
  public long nextVersionNumber() throws AgreementException {
    return 1 + history().stream().mapToLong(entry -> entry.version().number()).max().orElse(0);
  }

  /** Proposes the content of the version before the one in force. */
  public long proposePrevious(String author, String reason, long atMillis)
      throws AgreementException {
    ConfigVersion previous = readSnapshot().previous();
    return propose(current -> previous.content(), author, reason, atMillis);
  }

  /** Turns down what is proposed. */
  public void withdraw(String reason) throws AgreementException {
    take(transactions.withdraw(readSnapshot(), reason));
  }

  /**
   * Takes the records of a router away that is known to be dead.
   *
   * @throws AgreementException if there are none, or it holds its lease
   */
  public void declareLost(String name) throws AgreementException {
    StoreResponse.Success records =
        requireSuccess(new StoreRequest.Read(keys.membersPrefix() + name + "/"));
    if (records.entries().isEmpty()) {
      throw new AgreementException("there is no router '" + name + "' on the roster");
    }
    StoreResponse.Success live =
        requireSuccess(new StoreRequest.Read(keys.liveMembersPrefix() + name + "/"));
    if (!live.entries().isEmpty()) {
      throw new AgreementException("router '" + name + "' holds its lease: it is alive");
    }
    List<StoreRequest.Condition> conditions = new ArrayList<>();
    List<StoreRequest.Change> changes = new ArrayList<>();
    for (StoreResponse.Entry entry : records.entries()) {
      MemberRecord member = MemberRecord.decode(entry.value());
      String liveKey = keys.liveMember(member.name(), member.incarnation());
      conditions.add(new StoreRequest.Condition.Unchanged(liveKey, 0));
      changes.add(new StoreRequest.Change.Delete(entry.key()));
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
    AgreementSnapshot snapshot = readSnapshot();
    StoreResponse.Success records = requireSuccess(new StoreRequest.Read(keys.membersPrefix()));
    StoreResponse.Success live = requireSuccess(new StoreRequest.Read(keys.liveMembersPrefix()));
    List<MemberRecord> members = AgreementTransactions.members(records);
    return new AgreementStatus(
        snapshot,
        members,
        live.entries().stream().map(StoreResponse.Entry::key).toList(),
        transactions.awaitedMembers(snapshot, members, live));
  }

  /** Whether the member of that record holds its lease. */
  public boolean holdsLease(AgreementStatus status, MemberRecord member) {
    String liveKey = keys.liveMember(member.name(), member.incarnation());
    return status.liveMemberKeys().contains(liveKey);
  }

  /** What routers that hold leases make of the cache servers, by the router's name. */
  public SortedMap<String, EndpointView> endpointViews() throws AgreementException {
    String prefix = keys.endpointViewsPrefix();
    SortedMap<String, EndpointView> views = new TreeMap<>();
    for (StoreResponse.Entry entry : requireSuccess(new StoreRequest.Read(prefix)).entries()) {
      // Two processes of one router see alike: one vote.
      String name = entry.key().substring(prefix.length(), entry.key().lastIndexOf('/'));
      views.put(name, EndpointView.decode(entry.value()));
    }
    return views;
  }

  /** All versions, the oldest first. */
  public List<VersionHistoryEntry> history() throws AgreementException {
    Map<String, String> values = new LinkedHashMap<>();
    requireSuccess(new StoreRequest.Read(keys.versionsPrefix()))
        .entries()
        .forEach(entry -> values.put(entry.key(), entry.value()));
    List<VersionHistoryEntry> history = new ArrayList<>();
    for (Map.Entry<String, String> entry : values.entrySet()) {
      if (!entry.getKey().endsWith(AgreementKeys.REJECTION_SUFFIX)) {
        ConfigVersion version = ConfigCodec.decodeVersion(entry.getValue());
        String rejection = values.get(keys.rejectionReason(version.number()));
        history.add(new VersionHistoryEntry(version, rejection));
      }
    }
    return history;
  }
}
