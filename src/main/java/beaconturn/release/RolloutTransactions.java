package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Transactions of a release: what each changes, and what it depends on. */
final class RolloutTransactions {
  private final RolloutKeys keys;
  private final Supplier<String> when;

  /** Steps whose history says {@code when} they were taken, by the clock of whoever takes them. */
  RolloutTransactions(RolloutKeys keys, Supplier<String> when) {
    this.keys = keys;
    this.when = when;
  }

  /**
   * Changes with a line of history; they hold only where the course and all that is named are
   * unchanged.
   */
  RolloutTransaction act(
      RolloutSnapshot scene,
      String by,
      String says,
      List<String> unchanged,
      List<StoreRequest.Change> changes) {
    List<StoreRequest.Condition> conditions = new ArrayList<>();
    conditions.add(scene.unchanged(keys.course()));
    conditions.add(scene.unchanged(keys.plan()));
    unchanged.forEach(key -> conditions.add(scene.unchanged(key)));
    List<StoreRequest.Change> all = new ArrayList<>(changes);
    all.addAll(story(scene, by, says));
    conditions.add(scene.unchanged(keys.told()));
    return new RolloutTransaction(new StoreRequest.Transaction(conditions, all), says);
  }

  /** The next line of the history, and the count of them. */
  List<StoreRequest.Change> story(RolloutSnapshot scene, String by, String says) {
    long number = scene.stories() + 1;
    return List.of(
        put(keys.story(number), when.get() + " " + by + ": " + says),
        put(keys.told(), Long.toString(number)));
  }

  StoreRequest.Change put(RolloutStep step) {
    return put(keys.step(step.id()), RolloutCodec.of(step));
  }

  StoreRequest.Change put(DisruptionPermit permit) {
    return put(keys.permit(permit.number()), RolloutCodec.of(permit));
  }

  StoreRequest.Change put(ConfigChange changeover) {
    return put(keys.settings(), RolloutCodec.of(changeover));
  }

  StoreRequest.Change counted(long number) {
    return put(keys.counter(), Long.toString(number));
  }

  StoreRequest.Change put(RolloutState course) {
    return put(keys.course(), RolloutCodec.of(course));
  }

  StoreRequest.Change back(long permit) {
    return new StoreRequest.Change.Delete(keys.permit(permit));
  }

  static StoreRequest.Change put(String key, String value) {
    return new StoreRequest.Change.Put(key, value, 0);
  }
}
