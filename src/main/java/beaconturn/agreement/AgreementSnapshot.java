package beaconturn.agreement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * The shared state of the agreement at one revision of the store.
 *
 * @param clusterId id of the store's cluster
 * @param storeRevision revision of the store at which the state was read
 * @param agreementId empty if the store holds no agreement
 * @param current the version in force, or {@link ConfigVersion#NONE}
 * @param previous the version that was in force before, or {@link ConfigVersion#NONE}
 * @param proposed the proposed version, or null if there is none or it cannot be decoded
 * @param unreadableReason why the proposed version cannot be decoded, or null
 * @param proposedNumber number of the proposed version, decodable or not; 0 if there is none
 * @param settledNumber number of the last version that all members act on
 * @param leader incarnation of the step leader, or empty
 * @param modRevisions revision of the last modification of each key
 */
public record AgreementSnapshot(
    String clusterId,
    long storeRevision,
    String agreementId,
    ConfigVersion current,
    ConfigVersion previous,
    ConfigVersion proposed,
    String unreadableReason,
    long proposedNumber,
    long settledNumber,
    String leader,
    Map<String, Long> modRevisions) {
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  /**
   * Decodes the response to a read of all common keys. A proposed version that cannot be decoded is
   * not an error, see {@link #unreadableReason}.
   *
   * @throws AgreementException if any other value cannot be decoded
   */
  public static AgreementSnapshot of(AgreementKeys keys, StoreResponse.Success response)
      throws AgreementException {
    Map<String, String> values = new HashMap<>();
    Map<String, Long> modRevisions = new HashMap<>();
    for (StoreResponse.Entry entry : response.entries()) {
      values.put(entry.key(), entry.value());
      modRevisions.put(entry.key(), entry.modRevision());
    }
    Proposal proposal = proposal(values.get(keys.proposed()));
    long settledNumber = settledNumber(keys, values);
    return new AgreementSnapshot(
        response.clusterId(),
        response.storeRevision(),
        values.getOrDefault(keys.agreementId(), ""),
        version(values.get(keys.current())),
        version(values.get(keys.previous())),
        proposal.version(),
        proposal.unreadableReason(),
        proposal.number(),
        settledNumber,
        values.getOrDefault(keys.leader(), ""),
        modRevisions);
  }

  /** The proposed version as decoded from the store. */
  private record Proposal(long number, ConfigVersion version, String unreadableReason) {}

  private static Proposal proposal(String text) throws AgreementException {
    if (text == null) {
      return new Proposal(0, null, null);
    }
    long number = StoredJson.wholeNumber(StoredJson.parse(text), "number", 1, Long.MAX_VALUE);
    try {
      return new Proposal(number, ConfigCodec.decodeVersion(text), null);
    } catch (AgreementException e) {
      return new Proposal(number, null, e.getMessage());
    }
  }

  private static long settledNumber(AgreementKeys keys, Map<String, String> values)
      throws AgreementException {
    String text = values.getOrDefault(keys.settled(), "0");
    if (!NUMBER.matcher(text).matches()) {
      throw new AgreementException(keys.settled() + ": '" + text + "' is not a version number");
    }
    return Long.parseLong(text);
  }

  private static ConfigVersion version(String text) throws AgreementException {
    return text == null ? ConfigVersion.NONE : ConfigCodec.decodeVersion(text);
  }

  /** Whether a version is proposed, or some member does not act on the version in force yet. */
  public boolean hasOpenStep() {
    return proposedNumber != 0 || settledNumber < current.number();
  }

  /** Whether a step is open and there is no leader to commit it. */
  boolean lacksLeader() {
    return hasOpenStep() && leader.isEmpty();
  }

  /** Returns the condition that the key has not been modified since this snapshot was read. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, modRevisions.getOrDefault(key, 0L));
  }

  /**
   * Returns the conditions that the agreement, its current and its proposed version are unchanged.
   */
  List<StoreRequest.Condition> versionsUnchanged(AgreementKeys keys) {
    return List.of(
        unchanged(keys.agreementId()), unchanged(keys.current()), unchanged(keys.proposed()));
  }
}
