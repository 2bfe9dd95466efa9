package beaconturn.agreement;

import java.util.HashMap;
import java.util.Map;

/**
 * What all routers share, as of one revision of the store.
 *
 * @param clusterId which store it is
 * @param storeRevision of the store
 * @param agreementId of the agreement, empty where none was ever begun here
 * @param current the version in force, or {@link ConfigVersion#NONE}
 * @param previous the one before it, or {@link ConfigVersion#NONE}
 * @param proposed the proposed version, or null
 * @param unreadableReason why the next version cannot be read, or null
 * @param proposedNumber the number of the next version, readable or not; 0 where none is proposed
 * @param settledNumber the last version that all act on
 * @param leader the incarnation that looks after the steps, or empty
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
  /** Reads what a call for all common keys was given. */
  public static AgreementSnapshot of(AgreementKeys keys, StoreResponse.Success given)
      throws AgreementException {
    Map<String, String> values = new HashMap<>();
    Map<String, Long> modRevisions = new HashMap<>();
    for (StoreResponse.Entry pair : given.entries()) {
      values.put(pair.key(), pair.value());
      modRevisions.put(pair.key(), pair.modRevision());
    }
    String text = values.get(keys.proposed());
    ConfigVersion proposed = null;
    String unreadableReason = null;
    long number = 0;
    if (text != null) {
      number = StoredJson.wholeNumber(StoredJson.parse(text), "number", 1, Long.MAX_VALUE);
      try {
        proposed = ConfigCodec.decodeVersion(text);
      } catch (AgreementException e) {
        unreadableReason = e.getMessage();
      }
    }
    String settledNumber = values.getOrDefault(keys.settled(), "0");
    if (!settledNumber.matches("[0-9]{1,18}")) {
      throw new AgreementException(keys.settled() + ": not a number");
    }
    return new AgreementSnapshot(
        given.clusterId(),
        given.storeRevision(),
        values.getOrDefault(keys.agreementId(), ""),
        version(values.get(keys.current())),
        version(values.get(keys.previous())),
        proposed,
        unreadableReason,
        number,
        Long.parseLong(settledNumber),
        values.getOrDefault(keys.leader(), ""),
        modRevisions);
  }

  private static ConfigVersion version(String text) throws AgreementException {
    return text == null ? ConfigVersion.NONE : ConfigCodec.decodeVersion(text);
  }

  /**
   * Whether a step is still to be taken: a version proposed, or one in force that not all act on
   * yet.
   */
  public boolean hasOpenStep() {
    return proposedNumber != 0 || settledNumber < current.number();
  }

  /** The condition that the key is as it was read here. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, modRevisions.getOrDefault(key, 0L));
  }
}
