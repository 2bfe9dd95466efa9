package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * What the agent of one part does: it begins a step only by a transaction that holds while the
 * release acts, and acts only where the answer came in time, so that a halt binds also those that
 * were slow, cut off or paused.
 */
public final class RolloutAgent {
  private final RolloutKeys keys;
  private final RolloutTransactions steps;
  private final String id;
  private final String me;
  private final long callTimeout;

  /** What it is about to do or does, or null. */
  private RolloutStep doing;

  private long sentAt;
  private boolean running;
  private long beganAt;
  private Result result;

  /** How an action ended. */
  private record Result(RolloutStep step, boolean ready, String why, long at, long took) {}

  /**
   * An agent of a part; an answer that took longer than a call may take allows nothing any more.
   */
  public RolloutAgent(
      RolloutKeys keys, String id, String me, long callTimeout, Supplier<String> when) {
    this.keys = keys;
    this.steps = new RolloutTransactions(keys, when);
    this.id = id;
    this.me = me;
    this.callTimeout = callTimeout;
  }

  /**
   * Takes the part's seat, if nobody has it; it hangs on the lease. Null where nothing is to be
   * taken.
   */
  public RolloutTransaction take(RolloutSnapshot scene, long lease) {
    return scene.agents().containsKey(id)
        ? null
        : new RolloutTransaction(
            new StoreRequest.Transaction(
                List.of(new StoreRequest.Condition.Unchanged(keys.agent(id), 0)),
                List.of(new StoreRequest.Change.Put(keys.agent(id), me, lease))),
            "acts on " + id);
  }

  /**
   * The step through the store that is due, or null; to be told of its answer before it is asked
   * again.
   */
  public RolloutTransaction due(RolloutSnapshot scene, long now) {
    RolloutStep step = scene.steps().get(id);
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
    boolean open =
        step.phase() == RolloutStep.Phase.GRANTED || step.phase() == RolloutStep.Phase.BEGUN;
    RolloutState.Mode mode = scene.course().mode();
    if (mode == RolloutState.Mode.BACKING
        && step.phase() == RolloutStep.Phase.BEGUN
        && step.variant() == InstanceVariant.NEW) {
      // Whoever began it acts no more, and nobody is to act on it now: the driver takes it back.
      return steps.act(
          scene,
          me,
          id + " was begun and is not acted on any more",
          List.of(keys.step(id), keys.agent(id)),
          List.of(steps.put(step.to(RolloutStep.Phase.FAILED, me, "not acted on"))));
    }
    if (!open
        || mode
            != (step.variant() == InstanceVariant.NEW
                ? RolloutState.Mode.RUNNING
                : RolloutState.Mode.BACKING)) {
      return null;
    }
    // Begun by itself and not acted on: the answer was lost or late. Begun by another: that one has
    // died.
    doing = step.to(RolloutStep.Phase.BEGUN, me, "");
    sentAt = now;
    return steps.act(
        scene,
        me,
        id + " goes to " + step.variant().word() + " under permit " + step.permit(),
        List.of(keys.step(id), keys.agent(id)),
        List.of(steps.put(doing)));
  }

  private boolean mine(RolloutStep step) {
    return step.phase() == RolloutStep.Phase.BEGUN && step.agent().equals(me);
  }

  private RolloutTransaction report(RolloutSnapshot scene, RolloutStep step) {
    RolloutStep.Phase phase = result.ready() ? RolloutStep.Phase.UP : RolloutStep.Phase.FAILED;
    RolloutStep now =
        new RolloutStep(
            id,
            step.permit(),
            phase,
            result.step().variant(),
            me,
            result.why(),
            step.started(),
            result.took());
    List<StoreRequest.Change> changes = new ArrayList<>(List.of(steps.put(now)));
    changes.addAll(
        steps.story(
            scene,
            me,
            id
                + (result.ready() ? " runs " : " does not run ")
                + now.variant().word()
                + (result.why().isEmpty() ? "" : ": " + result.why())));
    // What has happened is told whatever the release is at: only the part must stand as it was.
    return new RolloutTransaction(
        new StoreRequest.Transaction(
            List.of(scene.unchanged(keys.step(id)), scene.unchanged(keys.told())), changes),
        id + (result.ready() ? " is up" : " is not up"));
  }

  /**
   * What is to be done now, once the answer to {@link #due} has come: the variant to go to, or
   * null.
   *
   * @param held whether the transaction held; false also where there was no answer
   */
  public InstanceVariant answered(boolean held, long now) {
    if (result != null || doing == null) {
      return null;
    }
    RolloutStep begun = doing;
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
  public InstanceVariant alone(RolloutPlan plan, long now) {
    if (running
        || result == null
        || result.ready()
        || plan == null
        || plan.alone() == 0
        || result.step().variant() == InstanceVariant.OLD
        || now - result.at() < plan.alone()) {
      return null;
    }
    RolloutStep step = result.step();
    doing =
        new RolloutStep(
            id,
            step.permit(),
            RolloutStep.Phase.BEGUN,
            InstanceVariant.OLD,
            me,
            "",
            step.started(),
            0);
    result = null;
    running = true;
    beganAt = now;
    return InstanceVariant.OLD;
  }
}
