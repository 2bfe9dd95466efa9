package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Decides the transactions and actions of the agent of one instance. An action starts only after a
 * transaction that is conditional on the state of the rollout, and only if the store's reply
 * arrived within the call timeout; a halt therefore also stops an agent that was slow, disconnected
 * or paused. Confined to one thread.
 */
public final class RolloutAgent {
  private final RolloutKeys keys;
  private final RolloutTransactions transactions;
  private final String instanceId;
  private final String incarnation;
  private final long callTimeoutNanos;

  /** The step that the last transaction starts or whose action is running; null if none. */
  private RolloutStep currentStep;

  private long transactionStartedNanos;
  private boolean actionRunning;
  private long actionStartedNanos;

  /** Result of the last action until it is stored; null if none is pending. */
  private ActionResult result;

  private record ActionResult(
      RolloutStep step, boolean ready, String failureReason, long endedNanos, long durationNanos) {}

  /**
   * Creates an agent.
   *
   * @param incarnation identifies this process among the agents of the instance
   * @param callTimeoutNanos maximum time from a transaction's decision to its reply; a later reply
   *     does not start an action
   * @param clock provides the formatted time of history lines
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
   * Returns the transaction that makes this process the agent of the instance, bound to its lease;
   * null if the instance has an agent.
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
        "acquires the agent lease of " + instanceId);
  }

  /**
   * Returns the next transaction; null if none is due. Its outcome must be passed to {@link
   * #transactionCompleted} before the next call.
   *
   * @param nowNanos time by a monotonic clock
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
      return reportInterrupted(snapshot, step);
    }
    return mayStart(step, mode) ? start(snapshot, step, nowNanos) : null;
  }

  /** Discards a result that is already stored, or whose permit was returned. */
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
   * Returns whether an action may start. A step that is stored as started but has no running action
   * is started again: by the same agent if the reply was lost or late, or by the successor of an
   * agent that has died.
   */
  private static boolean mayStart(RolloutStep step, RolloutMode mode) {
    boolean open = step.phase() == StepPhase.GRANTED || step.phase() == StepPhase.STARTED;
    RolloutMode required =
        step.variant() == InstanceVariant.NEW ? RolloutMode.RUNNING : RolloutMode.ROLLING_BACK;
    return open && mode == required;
  }

  private RolloutTransaction start(RolloutSnapshot snapshot, RolloutStep step, long nowNanos) {
    currentStep = step.withPhase(StepPhase.STARTED, incarnation, "");
    transactionStartedNanos = nowNanos;
    return transactions.transaction(
        snapshot,
        incarnation,
        instanceId
            + " goes to "
            + step.variant().serializedName()
            + " under permit "
            + step.permitNumber(),
        List.of(keys.step(instanceId), keys.agent(instanceId)),
        List.of(transactions.put(currentStep)));
  }

  /**
   * During a rollback, reports a started step to the new variant without a running action as
   * failed, so that the driver rolls the instance back.
   */
  private RolloutTransaction reportInterrupted(RolloutSnapshot snapshot, RolloutStep step) {
    RolloutStep failed = step.withPhase(StepPhase.FAILED, incarnation, "not acted on");
    return transactions.transaction(
        snapshot,
        incarnation,
        instanceId + " was begun and is not acted on any more",
        List.of(keys.step(instanceId), keys.agent(instanceId)),
        List.of(transactions.put(failed)));
  }

  /**
   * Reports the result of an action in any state of the rollout, on condition that the step is
   * unchanged.
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
            result.durationNanos());
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
   * Processes the outcome of the last transaction. Returns the variant to which the caller must now
   * bring the instance; null if no action starts.
   *
   * @param held whether the conditions held; false also if there was no reply
   */
  public InstanceVariant transactionCompleted(boolean held, long nowNanos) {
    if (result != null || currentStep == null) {
      return null;
    }
    if (!held || nowNanos - transactionStartedNanos > callTimeoutNanos) {
      currentStep = null;
      return null;
    }
    return startAction(nowNanos);
  }

  private InstanceVariant startAction(long nowNanos) {
    actionRunning = true;
    actionStartedNanos = nowNanos;
    return currentStep.variant();
  }

  /**
   * Records the result of the action.
   *
   * @param failureReason why the instance is not ready; empty if it is
   */
  public void actionEnded(boolean ready, String failureReason, long nowNanos) {
    actionRunning = false;
    result =
        new ActionResult(
            currentStep, ready, failureReason, nowNanos, nowNanos - actionStartedNanos);
    currentStep = null;
  }

  /**
   * Starts the rollback of a failed step while the store is unreachable, if the plan allows that
   * and the delay after the failure has passed. Returns the variant to which the caller must now
   * bring the instance; null if no action starts.
   *
   * @param plan plan as last read; null if none was read
   */
  public InstanceVariant startSelfRollback(RolloutPlan plan, long nowNanos) {
    boolean failed = !actionRunning && result != null && !result.ready();
    if (!failed || result.step().variant() == InstanceVariant.OLD) {
      return null;
    }
    boolean enabled = plan != null && plan.selfRollbackNanos() != 0;
    if (!enabled || nowNanos - result.endedNanos() < plan.selfRollbackNanos()) {
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
    return startAction(nowNanos);
  }
}
