package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The agent of one instance. It begins an action only by a transaction that holds while the release
 * acts, and acts only if the response came in time, so that a halt binds also an agent that was
 * slow, cut off or paused. Confined to one thread.
 */
public final class RolloutAgent {
  private final RolloutKeys keys;
  private final RolloutTransactions transactions;
  private final String instanceId;
  private final String incarnation;
  private final long callTimeoutNanos;

  /** The step that its last transaction was to begin, or whose action runs; or null. */
  private RolloutStep currentStep;

  private long sentAtNanos;
  private boolean actionRunning;
  private long actionStartedNanos;

  /** How the last action ended, until the store holds it; or null. */
  private ActionResult result;

  private record ActionResult(
      RolloutStep step, boolean ready, String failureReason, long endedNanos, long tookNanos) {}

  /**
   * An agent.
   *
   * @param incarnation identifies this process among agents of the instance
   * @param callTimeoutNanos a response that took longer allows nothing any more
   * @param clock gives the time of history lines as a text
   */
  public RolloutAgent(
      RolloutKeys keys,
      String instanceId,
      String incarnation,
      long callTimeoutNanos,
      Supplier<String> clock) {
    this.keys = keys;
    this.transactions = new RolloutTransactions(keys, clock);
    this.instanceId = instanceId;
    this.incarnation = incarnation;
    this.callTimeoutNanos = callTimeoutNanos;
  }

  /**
   * The transaction that makes this process the agent of the instance, bound to its lease; null
   * where there is an agent.
   */
  public RolloutTransaction acquireLease(RolloutSnapshot snapshot, long leaseId) {
    if (snapshot.agents().containsKey(instanceId)) {
      return null;
    }
    String key = keys.agent(instanceId);
    return new RolloutTransaction(
        new StoreRequest.Transaction(
            List.of(new StoreRequest.Condition.Unchanged(key, 0)),
            List.of(new StoreRequest.Change.Put(key, incarnation, leaseId))),
        "acts on " + instanceId);
  }

  /**
   * The next transaction, or null where none is due. Its response goes to {@link
   * #transactionCompleted} before the next call.
   *
   * @param nowNanos by a clock that never goes back
   */
  public RolloutTransaction nextTransaction(RolloutSnapshot snapshot, long nowNanos) {
    RolloutStep step = snapshot.steps().get(instanceId);
    boolean nothingToDo = step == null || snapshot.plan() == null || snapshot.storeReplaced();
    if (actionRunning || nothingToDo) {
      return null;
    }
    discardOutdatedResult(step);
    if (result != null) {
      return report(snapshot, step);
    }
    if (!incarnation.equals(snapshot.agents().get(instanceId))) {
      return null;
    }
    RolloutMode mode = snapshot.state().mode();
    if (mode == RolloutMode.ROLLING_BACK && isStartedForNewVariant(step)) {
      return giveUp(snapshot, step);
    }
    return mayStart(step, mode) ? start(snapshot, step, nowNanos) : null;
  }

  /** The permit of the result is returned, or the store holds the result already. */
  private void discardOutdatedResult(RolloutStep step) {
    if (result == null) {
      return;
    }
    boolean anotherPermit = step.permitNumber() != result.step().permitNumber();
    boolean startedByThisAgent =
        step.phase() == StepPhase.STARTED && step.agentIncarnation().equals(incarnation);
    if (anotherPermit || !startedByThisAgent) {
      result = null;
    }
  }

  private static boolean isStartedForNewVariant(RolloutStep step) {
    return step.phase() == StepPhase.STARTED && step.variant() == InstanceVariant.NEW;
  }

  /**
   * Whether an action may begin. A step that stands as started and is not acted on is begun again:
   * by this agent where the response was lost or late, by another where that one has died.
   */
  private static boolean mayStart(RolloutStep step, RolloutMode mode) {
    boolean open = step.phase() == StepPhase.GRANTED || step.phase() == StepPhase.STARTED;
    RolloutMode required =
        step.variant() == InstanceVariant.NEW ? RolloutMode.RUNNING : RolloutMode.ROLLING_BACK;
    return open && mode == required;
  }

  private RolloutTransaction start(RolloutSnapshot snapshot, RolloutStep step, long nowNanos) {
    currentStep = step.withPhase(StepPhase.STARTED, incarnation, "");
    sentAtNanos = nowNanos;
    return transactions.transaction(
        snapshot,
        incarnation,
        instanceId + " goes to " + step.variant().serializedName() + " under permit " + step.permitNumber(),
        List.of(keys.step(instanceId), keys.agent(instanceId)),
        List.of(transactions.put(currentStep)));
  }

  /**
   * While the release goes back, a step to the new variant that was started and is not acted on is
   * reported as failed, so that the driver takes it back.
   */
  private RolloutTransaction giveUp(RolloutSnapshot snapshot, RolloutStep step) {
    RolloutStep failed = step.withPhase(StepPhase.FAILED, incarnation, "not acted on");
    return transactions.transaction(
        snapshot,
        incarnation,
        instanceId + " was begun and is not acted on any more",
        List.of(keys.step(instanceId), keys.agent(instanceId)),
        List.of(transactions.put(failed)));
  }

  /**
   * Reports how an action has ended, whatever the release is at: only the step must stand as it
   * was.
   */
  private RolloutTransaction report(RolloutSnapshot snapshot, RolloutStep step) {
    RolloutStep reported =
        new RolloutStep(
            instanceId,
            step.permitNumber(),
            result.ready() ? StepPhase.READY : StepPhase.FAILED,
            result.step().variant(),
            incarnation,
            result.failureReason(),
            step.previousStartNanos(),
            result.tookNanos());
    List<StoreRequest.Change> changes = new ArrayList<>();
    changes.add(transactions.put(reported));
    changes.addAll(
        transactions.appendHistory(snapshot, incarnation, historyText(reported.variant())));
    return new RolloutTransaction(
        new StoreRequest.Transaction(
            List.of(
                snapshot.unchanged(keys.step(instanceId)),
                snapshot.unchanged(keys.historyLength())),
            changes),
        instanceId + (result.ready() ? " is up" : " is not up"));
  }

  private String historyText(InstanceVariant variant) {
    String runs = result.ready() ? " runs " : " does not run ";
    String reason = result.failureReason().isEmpty() ? "" : ": " + result.failureReason();
    return instanceId + runs + variant.serializedName() + reason;
  }

  /**
   * Takes the response to the last transaction; the variant that the instance is to be brought to
   * now, or null.
   *
   * @param held whether the transaction held; false also where there was no response
   */
  public InstanceVariant transactionCompleted(boolean held, long nowNanos) {
    if (result != null || currentStep == null) {
      return null;
    }
    if (!held || nowNanos - sentAtNanos > callTimeoutNanos) {
      currentStep = null;
      return null;
    }
    return beginAction(nowNanos);
  }

  private InstanceVariant beginAction(long nowNanos) {
    actionRunning = true;
    actionStartedNanos = nowNanos;
    return currentStep.variant();
  }

  /** Takes the end of the action; the reason of a failure is empty where the instance is ready. */
  public void actionEnded(boolean ready, String failureReason, long nowNanos) {
    actionRunning = false;
    result =
        new ActionResult(
            currentStep, ready, failureReason, nowNanos, nowNanos - actionStartedNanos);
    currentStep = null;
  }

  /**
   * Whether the instance is to be brought back though the store does not answer: its action has
   * failed, and the plan wants it back by now. The variant to bring it to, or null.
   *
   * @param plan as read last, or null
   */
  public InstanceVariant startSelfRollback(RolloutPlan plan, long nowNanos) {
    boolean failed = !actionRunning && result != null && !result.ready();
    if (!failed || result.step().variant() == InstanceVariant.OLD) {
      return null;
    }
    boolean wanted = plan != null && plan.selfRollbackNanos() != 0;
    if (!wanted || nowNanos - result.endedNanos() < plan.selfRollbackNanos()) {
      return null;
    }
    RolloutStep failedStep = result.step();
    currentStep =
        new RolloutStep(
            instanceId,
            failedStep.permitNumber(),
            StepPhase.STARTED,
            InstanceVariant.OLD,
            incarnation,
            "",
            failedStep.previousStartNanos(),
            0);
    result = null;
    return beginAction(nowNanos);
  }
}
