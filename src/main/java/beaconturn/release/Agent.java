package beaconturn.release;

import beaconturn.agreement.Call;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * What the agent of one part does: it begins a step only by a transaction that holds while the
 * release acts, and acts only where the answer came in time, so that a halt binds also those that
 * were slow, cut off or paused.
 */
public final class Agent {
  private final ReleaseKeys keys;
  private final Steps steps;
  private final String id;
  private final String me;
  private final long callTimeout;

  /** What it is about to do or does, or null. */
  private Step doing;

  private long sentAt;
  private boolean running;
  private long beganAt;
  private Result result;

  /** How an action ended. */
  private record Result(Step step, boolean ready, String why, long at, long took) {}

  /**
   * An agent of a part; an answer that took longer than a call may take allows nothing any more.
   */
  public Agent(ReleaseKeys keys, String id, String me, long callTimeout, Supplier<String> when) {
    this.keys = keys;
    this.steps = new Steps(keys, when);
    this.id = id;
    this.me = me;
    this.callTimeout = callTimeout;
  }

  /**
   * Takes the part's seat, if nobody has it; it hangs on the lease. Null where nothing is to be
   * taken.
   */
  public Act take(Scene scene, long lease) {
    return scene.agents().containsKey(id)
        ? null
        : new Act(
            new Call.Swap(
                List.of(new Call.Condition.Unchanged(keys.agent(id), 0)),
                List.of(new Call.Change.Put(keys.agent(id), me, lease))),
            "acts on " + id);
  }

  /**
   * The step through the store that is due, or null; to be told of its answer before it is asked
   * again.
   */
  public Act due(Scene scene, long now) {
    Step step = scene.steps().get(id);
    if (running || step == null || scene.plan() == null || scene.replaced()) {
      return null;
    }
    if (result != null && (step.permit() != result.step().permit() || !mine(step))) {
      // Its number is over, or what it has to tell stands there already.
      result = null;
    }
    if (result != null) {
      return report(scene, step);
    }
    if (!me.equals(scene.agents().get(id))) {
      return null;
    }
    boolean open = step.phase() == Step.Phase.GRANTED || step.phase() == Step.Phase.BEGUN;
    Course.Mode mode = scene.course().mode();
    if (mode == Course.Mode.BACKING
        && step.phase() == Step.Phase.BEGUN
        && step.variant() == Variant.NEW) {
      // Whoever began it acts no more, and nobody is to act on it now: the driver takes it back.
      return steps.act(
          scene,
          me,
          id + " was begun and is not acted on any more",
          List.of(keys.step(id), keys.agent(id)),
          List.of(steps.put(step.to(Step.Phase.FAILED, me, "not acted on"))));
    }
    if (!open
        || mode != (step.variant() == Variant.NEW ? Course.Mode.RUNNING : Course.Mode.BACKING)) {
      return null;
    }
    // Begun by itself and not acted on: the answer was lost or late. Begun by another: that one has
    // died.
    doing = step.to(Step.Phase.BEGUN, me, "");
    sentAt = now;
    return steps.act(
        scene,
        me,
        id + " goes to " + step.variant().word() + " under permit " + step.permit(),
        List.of(keys.step(id), keys.agent(id)),
        List.of(steps.put(doing)));
  }

  private boolean mine(Step step) {
    return step.phase() == Step.Phase.BEGUN && step.agent().equals(me);
  }

  private Act report(Scene scene, Step step) {
    Step.Phase phase = result.ready() ? Step.Phase.UP : Step.Phase.FAILED;
    Step now =
        new Step(
            id,
            step.permit(),
            phase,
            result.step().variant(),
            me,
            result.why(),
            step.started(),
            result.took());
    List<Call.Change> changes = new ArrayList<>(List.of(steps.put(now)));
    changes.addAll(
        steps.story(
            scene,
            me,
            id
                + (result.ready() ? " runs " : " does not run ")
                + now.variant().word()
                + (result.why().isEmpty() ? "" : ": " + result.why())));
    // What has happened is told whatever the release is at: only the part must stand as it was.
    return new Act(
        new Call.Swap(
            List.of(scene.unchanged(keys.step(id)), scene.unchanged(keys.told())), changes),
        id + (result.ready() ? " is up" : " is not up"));
  }

  /**
   * What is to be done now, once the answer to {@link #due} has come: the variant to go to, or
   * null.
   *
   * @param held whether the transaction held; false also where there was no answer
   */
  public Variant answered(boolean held, long now) {
    if (result != null || doing == null) {
      return null;
    }
    Step begun = doing;
    doing = null;
    if (!held || now - sentAt > callTimeout) {
      return null;
    }
    doing = begun;
    running = true;
    beganAt = now;
    return begun.variant();
  }

  /** The action has ended. */
  public void ended(boolean ready, String why, long now) {
    running = false;
    result = new Result(doing, ready, why, now, now - beganAt);
    doing = null;
  }

  /**
   * Whether the part is to be brought back now though the store is out of reach: what failed has
   * stood out for so long that the plan wants it back. The variant to go to, or null.
   */
  public Variant alone(Plan plan, long now) {
    if (running
        || result == null
        || result.ready()
        || plan == null
        || plan.alone() == 0
        || result.step().variant() == Variant.OLD
        || now - result.at() < plan.alone()) {
      return null;
    }
    Step step = result.step();
    doing = new Step(id, step.permit(), Step.Phase.BEGUN, Variant.OLD, me, "", step.started(), 0);
    result = null;
    running = true;
    beganAt = now;
    return Variant.OLD;
  }
}
