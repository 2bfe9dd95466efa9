package beaconturn.agreement;

import java.util.HashMap;
import java.util.Map;

/**
 * What all routers share, as of one revision of the store.
 *
 * @param cluster which store it is
 * @param revision of the store
 * @param identity of the agreement, empty where none was ever begun here
 * @param current the version in force, or {@link Version#NONE}
 * @param previous the one before it, or {@link Version#NONE}
 * @param next the proposed version, or null
 * @param unreadable why the next version cannot be read, or null
 * @param nextNumber the number of the next version, readable or not; 0 where none is proposed
 * @param settled the last version that all act on
 * @param office the incarnation that looks after the steps, or empty
 * @param changed when each key was last changed
 */
public record Snapshot(
    String cluster,
    long revision,
    String identity,
    Version current,
    Version previous,
    Version next,
    String unreadable,
    long nextNumber,
    long settled,
    String office,
    Map<String, Long> changed) {
  /** Reads what a call for all common keys was given. */
  public static Snapshot of(Keys keys, Answer.Given given) throws AgreementException {
    Map<String, String> values = new HashMap<>();
    Map<String, Long> changed = new HashMap<>();
    for (Answer.Pair pair : given.pairs()) {
      values.put(pair.key(), pair.value());
      changed.put(pair.key(), pair.changed());
    }
    String text = values.get(keys.next());
    Version next = null;
    String unreadable = null;
    long number = 0;
    if (text != null) {
      number = Texts.whole(Texts.parse(text), "number", 1, Long.MAX_VALUE);
      try {
        next = Texts.version(text);
      } catch (AgreementException e) {
        unreadable = e.getMessage();
      }
    }
    String settled = values.getOrDefault(keys.settled(), "0");
    if (!settled.matches("[0-9]{1,18}")) {
      throw new AgreementException(keys.settled() + ": not a number");
    }
    return new Snapshot(
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

  private static Version version(String text) throws AgreementException {
    return text == null ? Version.NONE : Texts.version(text);
  }

  /**
   * Whether a step is still to be taken: a version proposed, or one in force that not all act on
   * yet.
   */
  public boolean open() {
    return nextNumber != 0 || settled < current.number();
  }

  /** The condition that the key is as it was read here. */
  Call.Condition unchanged(String key) {
    return new Call.Condition.Unchanged(key, changed.getOrDefault(key, 0L));
  }
}
