package beaconturn.agreement;

import java.util.HashMap;
import java.util.Map;

/**
 * What all routers share, as of one revision of the store.
 *
 * @param cluster which store it is
 * @param revision of the store
 * @param identity of the agreement, empty where none was ever begun here
 * @param current the version in force, or {@link ConfigVersion#NONE}
 * @param previous the one before it, or {@link ConfigVersion#NONE}
 * @param next the proposed version, or null
 * @param unreadable why the next version cannot be read, or null
 * @param nextNumber the number of the next version, readable or not; 0 where none is proposed
 * @param settled the last version that all act on
 * @param office the incarnation that looks after the steps, or empty
 * @param changed when each key was last changed
 */
public record AgreementSnapshot(
    String cluster,
    long revision,
    String identity,
    ConfigVersion current,
    ConfigVersion previous,
    ConfigVersion next,
    String unreadable,
    long nextNumber,
    long settled,
    String office,
    Map<String, Long> changed) {
  /** Reads what a call for all common keys was given. */
  public static AgreementSnapshot of(AgreementKeys keys, StoreResponse.Given given)
      throws AgreementException {
    Map<String, String> values = new HashMap<>();
    Map<String, Long> changed = new HashMap<>();
    for (StoreResponse.Pair pair : given.pairs()) {
      values.put(pair.key(), pair.value());
      changed.put(pair.key(), pair.changed());
    }
    String text = values.get(keys.next());
    ConfigVersion next = null;
    String unreadable = null;
    long number = 0;
    if (text != null) {
      number = ConfigCodec.whole(ConfigCodec.parse(text), "number", 1, Long.MAX_VALUE);
      try {
        next = ConfigCodec.version(text);
      } catch (AgreementException e) {
        unreadable = e.getMessage();
      }
    }
    String settled = values.getOrDefault(keys.settled(), "0");
    if (!settled.matches("[0-9]{1,18}")) {
      throw new AgreementException(keys.settled() + ": not a number");
    }
    return new AgreementSnapshot(
        given.cluster(),
        given.revision(),
        values.getOrDefault(keys.identity(), ""),
        version(values.get(keys.current())),
        version(values.get(keys.previous())),
        next,
        unreadable,
        number,
        Long.parseLong(settled),
        values.getOrDefault(keys.office(), ""),
        changed);
  }

  private static ConfigVersion version(String text) throws AgreementException {
    return text == null ? ConfigVersion.NONE : ConfigCodec.version(text);
  }

  /**
   * Whether a step is still to be taken: a version proposed, or one in force that not all act on
   * yet.
   */
  public boolean open() {
    return nextNumber != 0 || settled < current.number();
  }

  /** The condition that the key is as it was read here. */
  StoreRequest.Condition unchanged(String key) {
    return new StoreRequest.Condition.Unchanged(key, changed.getOrDefault(key, 0L));
  }
}
