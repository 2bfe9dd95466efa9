package beaconturn.agreement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * What all members share, as of one revision of the store.
 *
 * @param clusterId which store it is
 * @param storeRevision of the store
 * @param agreementId empty where no agreement was ever begun here
 * @param current the version in force, or {@link ConfigVersion#NONE}
 * @param previous the one before it, or {@link ConfigVersion#NONE}
 * @param proposed the proposed version, or null where there is none or it cannot be read
 * @param unreadableReason why the proposed version cannot be read, or null
 * @param proposedNumber the number of the proposed version, readable or not; 0 where there is none
 * @param settledNumber the last version that all act on
 * @param leader the incarnation that takes the steps, or empty
 * @param modRevisions when each key was last changed
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
   * Decodes the response to a read of all common keys.
   *
   * @throws AgreementException if something other than the proposed version cannot be read
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

  /** The proposed version as it stands in the store. */
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
      throw new AgreementException(keys.settled() + ": not a number");
    }
    return Long.parseLong(text);
  }

  private static ConfigVersion version(String text) throws AgreementException {
    return text == null ? ConfigVersion.NONE : ConfigCodec.decodeVersion(text);
  }

  /**
   * Whether a step is still to be taken: a version is proposed, or not all act on the one in force.
   */
  public boolean hasOpenStep() {
    return proposedNumber != 0 || settledNumber < current.number();
  }

  /** Whether a step is open and there is no leader to take it. */
  boolean lacksLeader() {
    return hasOpenStep() && leader.isEmpty();
  }

  /** The condition that the key is as it was read here. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, modRevisions.getOrDefault(key, 0L));
  }

  /** The conditions that the same agreement has the same versions in force and proposed. */
  List<StoreRequest.Condition> versionsUnchanged(AgreementKeys keys) {
    return List.of(
        unchanged(keys.agreementId()), unchanged(keys.current()), unchanged(keys.proposed()));
  }
}
