package beaconturn.release;

import beaconturn.agreement.Call;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Transactions of a release: what each changes, and what it depends on. */
final class Steps {
  private final ReleaseKeys keys;
  private final Supplier<String> when;

  /** Steps whose history says {@code when} they were taken, by the clock of whoever takes them. */
  Steps(ReleaseKeys keys, Supplier<String> when) {
    this.keys = keys;
    this.when = when;
  }

  /**
   * Changes with a line of history; they hold only where the course and all that is named are
   * unchanged.
   */
  Act act(Scene scene, String by, String says, List<String> unchanged, List<Call.Change> changes) {
    List<Call.Condition> conditions = new ArrayList<>();
    conditions.add(scene.unchanged(keys.course()));
    conditions.add(scene.unchanged(keys.plan()));
    unchanged.forEach(key -> conditions.add(scene.unchanged(key)));
    List<Call.Change> all = new ArrayList<>(changes);
    all.addAll(story(scene, by, says));
    conditions.add(scene.unchanged(keys.told()));
    return new Act(new Call.Swap(conditions, all), says);
  }

  /** The next line of the history, and the count of them. */
  List<Call.Change> story(Scene scene, String by, String says) {
    long number = scene.stories() + 1;
    return List.of(
        put(keys.story(number), when.get() + " " + by + ": " + says),
        put(keys.told(), Long.toString(number)));
  }

  Call.Change put(Step step) {
    return put(keys.step(step.id()), ReleaseTexts.of(step));
  }

  Call.Change put(Permit permit) {
    return put(keys.permit(permit.number()), ReleaseTexts.of(permit));
  }

  Call.Change put(Changeover changeover) {
    return put(keys.settings(), ReleaseTexts.of(changeover));
  }

  Call.Change counted(long number) {
    return put(keys.counter(), Long.toString(number));
  }

  Call.Change put(Course course) {
    return put(keys.course(), ReleaseTexts.of(course));
  }

  Call.Change back(long permit) {
    return new Call.Change.Delete(keys.permit(permit));
  }

  static Call.Change put(String key, String value) {
    return new Call.Change.Put(key, value, 0);
  }
}
