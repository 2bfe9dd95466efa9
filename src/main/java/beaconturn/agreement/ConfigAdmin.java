package beaconturn.agreement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

/**
 * Operations on the agreement for operators. Each operation reads the current state and commits one
 * conditional step. If the response to a proposal is lost, the outcome is read back from the store.
 * Blocks on the store; not thread-safe.
 *
 * <p>All methods throw an {@link AgreementException} if a store request fails or stored data cannot
 * be decoded.
 */
public final class ConfigAdmin {
  private final AgreementKeys keys;
  private final AgreementTransactions transactions;
  private final CoordinationStore store;

  /** Creates the operations for the fleet with these keys. */
  public ConfigAdmin(AgreementKeys keys, CoordinationStore store) {
    this.keys = keys;
    this.transactions = new AgreementTransactions(keys);
    this.store = store;
  }

  private StoreResponse.Success requireSuccess(StoreRequest request) throws AgreementException {
    return requireSuccess(store, request);
  }

  /**
   * Sends the request and returns the store's reply.
   *
   * @throws AgreementException if the request fails; the commands recognize the start of its
   *     message
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
   * Creates the agreement in an empty store, and returns a description of the result.
   *
   * @throws AgreementException if the store holds another agreement
   */
  public String begin(String agreementId) throws AgreementException {
    StoreResponse response = store.ask(transactions.begin(agreementId));
    String found = readSnapshot().agreementId();
    if (found.isEmpty()) {
      throw new AgreementException(
          "agreement " + agreementId + " was not created, try again: " + failureReason(response));
    }
    if (!found.equals(agreementId)) {
      throw new AgreementException("this store already holds agreement " + found);
    }
    return "agreement " + agreementId + " is begun";
  }

  private static String failureReason(StoreResponse response) {
    return response instanceof StoreResponse.RequestFailed failed
        ? failed.reason()
        : "the store already holds a version in force";
  }

  /**
   * Proposes a version whose content is derived from the content in force, and returns its number.
   *
   * @throws AgreementException if the version is not proposed
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
    // The transaction may have been committed although its response was lost or reports a conflict.
    ConfigVersion proposed = ConfigVersion.of(number, content, author, reason, atMillis);
    if (history().stream().noneMatch(entry -> entry.version().isSameAs(proposed))) {
      throw new AgreementException(
          response instanceof StoreResponse.RequestFailed failed
              ? "not proposed: " + failed.reason()
              : "not proposed: somebody else was faster");
    }
    return number;
  }

  /** Returns the number that the next proposed version gets. */
  public long nextVersionNumber() throws AgreementException {
    return 1 + history().stream().mapToLong(entry -> entry.version().number()).max().orElse(0);
  }

  /** Proposes the content of the previous version, and returns the new number. */
  public long proposePrevious(String author, String reason, long atMillis)
      throws AgreementException {
    ConfigVersion previous = readSnapshot().previous();
    return propose(current -> previous.content(), author, reason, atMillis);
  }

  /** Rejects the proposed version. */
  public void withdraw(String reason) throws AgreementException {
    commit(transactions.withdraw(readSnapshot(), reason));
  }

  /**
   * Deletes the records of a router that is known to be dead, so that it is no longer awaited.
   *
   * @throws AgreementException if the router has no records or still holds its lease
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
    commit(
        new AgreementStep(
            new StoreRequest.Transaction(conditions, changes),
            "router " + name + " is declared lost"));
  }

  private void commit(AgreementStep step) throws AgreementException {
    if (!requireSuccess(step.transaction()).conditionsHeld()) {
      throw new AgreementException("not done, things have changed meanwhile: look again");
    }
  }

  /** Reads the current status from the store. */
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

  /** Whether the member held its lease when the status was read. */
  public boolean holdsLease(AgreementStatus status, MemberRecord member) {
    String liveKey = keys.liveMember(member.name(), member.incarnation());
    return status.liveMemberKeys().contains(liveKey);
  }

  /** Reads the endpoint views of all routers that hold a lease, by router name. */
  public SortedMap<String, EndpointView> endpointViews() throws AgreementException {
    String prefix = keys.endpointViewsPrefix();
    SortedMap<String, EndpointView> views = new TreeMap<>();
    for (StoreResponse.Entry entry : requireSuccess(new StoreRequest.Read(prefix)).entries()) {
      // Two processes of one router count as one view.
      String name = entry.key().substring(prefix.length(), entry.key().lastIndexOf('/'));
      views.put(name, EndpointView.decode(entry.value()));
    }
    return views;
  }

  /** Reads all versions ever proposed, oldest first. */
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
