package beaconturn.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Model check of concurrent steps: explores the orders in which two drivers, the agents of two
 * routers, the successor of an agent and an operator who halts and drains decide and commit, up to
 * a bound. The state may change between a decision and its commit. The disruption budget is one
 * router.
 */
class ReleaseModelTest {
  /** Bound of the search; {@code -Dmodel.states=200000} for a longer one. */
  private static final int MAX_STATES = Integer.getInteger("model.states", 3000);

  private static final int MAX_WALK_LENGTH = 40;
  private static final List<String> RARE_ACTIONS =
      List.of("halt", "replace", "lease", "wants r2 out", "takes r2 out");
  private static final long CALL_TIMEOUT_NANOS = 100;

  /** One execution: a sequence of actions from the start of a release. */
  private static final class Execution {
    private final InMemoryStore store;
    private final RolloutDriver[] drivers = {
      new RolloutDriver(InMemoryStore.KEYS, "d0", () -> ""),
      new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "")
    };
    private final RolloutTransaction[] driverDecisions = new RolloutTransaction[2];
    private final List<AgentModel> agents = new ArrayList<>();
    private final String defect;
    private int remainingLeaseExpiries = 1;
    private boolean halted;
    private boolean agentReplaced;
    private RolloutTransaction drainDecision;
    private boolean drained;
    private String violation;

    /** An agent with its pending decision and its running action. */
    private static final class AgentModel {
      private final String instanceId;
      private final RolloutAgent rolloutAgent;
      private RolloutTransaction decision;
      private InstanceVariant runningAction;
      private boolean actionFailed;
      private boolean stopped;

      /** Result of the last action until it is reported. */
      private String unreportedResult = "";

      private AgentModel(InMemoryStore store, String instanceId, String incarnation) {
        this.instanceId = instanceId;
        this.rolloutAgent = store.agent(instanceId, incarnation, CALL_TIMEOUT_NANOS);
      }
    }

    Execution(String defect) throws AgreementException {
      this.defect = defect;
      store = InMemoryStore.withRouters(1, 1).startRelease(0, List.of(List.of("r1", "r2")));
      // The condition on the history length is dropped too: it alone prevents most violations.
      store.uncheckedKeys =
          key ->
              !defect.isEmpty()
                  && (key.contains("/release/" + defect)
                      || key.endsWith("/release/told")
                      || (defect.equals("course") && key.endsWith("/plan")));
      agents.add(new AgentModel(store, "r1", "a"));
      agents.add(new AgentModel(store, "r2", "b"));
    }

    /**
     * Returns the actions that are possible now. A driver decides and then commits (drive); an
     * agent decides (looks), then commits and starts its action (acts), which ends or fails; the
     * driver lease expires; the first agent is replaced; an operator halts, resumes, and decides on
     * (wants) and commits (takes) a drain of r2.
     */
    List<String> possibleActions() {
      List<String> actions = new ArrayList<>();
      RolloutSnapshot snapshot = store.snapshot();
      for (int i = 0; i < 2; i++) {
        if (driverDecisions[i] != null) {
          actions.add("drive " + i);
        } else if (drivers[i].acquireLease(snapshot, 1) != null
            || drivers[i].nextTransaction(snapshot, Unavailability.of(Map.of()), 0) != null) {
          actions.add("decide " + i);
        }
      }
      for (int i = 0; i < agents.size(); i++) {
        AgentModel agent = agents.get(i);
        if (agent.stopped) {
          continue;
        }
        if (agent.runningAction != null) {
          actions.add("ends " + i);
          actions.add("fails " + i);
        } else {
          actions.add((agent.decision == null ? "looks " : "acts ") + i);
        }
      }
      if (remainingLeaseExpiries > 0 && !snapshot.driver().isEmpty()) {
        actions.add("lease");
      }
      if (!halted) {
        actions.add("halt");
      } else if (snapshot.state().mode() == RolloutMode.HALTED) {
        actions.add("resume");
      }
      if (!agentReplaced) {
        actions.add("replace");
      }
      if (!drained) {
        actions.add(drainDecision == null ? "wants r2 out" : "takes r2 out");
      }
      return actions;
    }

    void execute(String action) throws AgreementException {
      String[] words = action.split(" ");
      int i = words.length == 2 ? Integer.parseInt(words[1]) : 0;
      switch (words[0]) {
        case "decide" -> {
          RolloutTransaction lease = drivers[i].acquireLease(store.snapshot(), 1);
          driverDecisions[i] =
              lease != null
                  ? lease
                  : drivers[i].nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0);
        }
        case "drive" -> {
          store.commits(driverDecisions[i]);
          driverDecisions[i] = null;
        }
        case "looks" ->
            agents.get(i).decision =
                agents.get(i).rolloutAgent.nextTransaction(store.snapshot(), 0);
        case "acts" -> startAction(agents.get(i));
        case "ends", "fails" -> endAction(agents.get(i), words[0].equals("ends"));
        case "lease" -> {
          remainingLeaseExpiries--;
          store.expireDriverLease();
        }
        case "halt" -> {
          halted = true;
          if (!store.snapshot().state().isOver()) {
            store.admin().halt("wait");
          }
        }
        case "resume" -> store.admin().resume("go on");
        case "replace" -> {
          // The agent has died; the result of its running action is never reported.
          agentReplaced = true;
          agents.get(0).stopped = true;
          agents.get(0).runningAction = null;
          store.expireAgentLease("r1");
          agents.add(new AgentModel(store, "r1", "c"));
        }
        case "wants" -> drainDecision = decideDrain();
        default -> {
          drained = true;
          if (drainDecision.storeTransaction() != null && store.commits(drainDecision)) {
            checkBudget("r2 by drain");
          }
        }
      }
    }

    /** Captures the transaction of a drain, so that it can be committed later. */
    private RolloutTransaction decideDrain() {
      List<RolloutTransaction> captured = new ArrayList<>();
      DisruptionPermitAdmin permits =
          new DisruptionPermitAdmin(
              InMemoryStore.KEYS,
              request -> {
                if (request instanceof StoreRequest.Transaction transaction) {
                  captured.add(new RolloutTransaction(transaction, ""));
                  return new StoreResponse.RequestFailed("captured");
                }
                return store.ask(request);
              },
              "op",
              () -> "");
      try {
        permits.takePermit(InstanceKind.ROUTER, "r2", "drain", Unavailability.of(Map.of()));
      } catch (AgreementException e) {
        return captured.isEmpty() ? new RolloutTransaction(null, e.getMessage()) : captured.get(0);
      }
      throw new IllegalStateException("no transaction was captured");
    }

    private void startAction(AgentModel agent) {
      boolean held = store.commits(agent.decision);
      agent.decision = null;
      agent.unreportedResult = held ? "" : agent.unreportedResult;
      RolloutMode mode = store.snapshot().state().mode();
      agent.runningAction =
          agent.rolloutAgent.transactionCompleted(held || defect.equals("ignored-reply"), 0);
      if (agent.runningAction == null) {
        return;
      }
      if (mode == RolloutMode.HALTED) {
        violation = agent.instanceId + " starts a step although the release is halted";
      }
      if (agents.stream()
          .anyMatch(
              other ->
                  other != agent
                      && other.instanceId.equals(agent.instanceId)
                      && other.runningAction != null)) {
        violation = agent.instanceId + " has two actions running at once";
      }
      checkBudget(agent.instanceId);
    }

    /**
     * Checks the budget after an instance was taken out of service. Instances with a running or a
     * failed action are out of service, and r2 while it is drained.
     */
    private void checkBudget(String cause) {
      Set<String> outOfService = new HashSet<>();
      agents.stream()
          .filter(agent -> agent.runningAction != null || agent.actionFailed)
          .forEach(agent -> outOfService.add(agent.instanceId));
      if (cause.endsWith("by drain")) {
        outOfService.add("r2");
      } else if (drained
          && store.snapshot().permits().values().stream()
              .anyMatch(permit -> permit.holder().equals("op"))) {
        outOfService.add("r2");
      }
      if (outOfService.size() > 1) {
        violation = cause + " exceeds the budget: " + outOfService + " are out of service";
      }
    }

    private void endAction(AgentModel agent, boolean ready) {
      agent.runningAction = null;
      agents.stream()
          .filter(other -> other.instanceId.equals(agent.instanceId))
          .forEach(other -> other.actionFailed = !ready);
      agent.unreportedResult = ready ? "ready" : "failed";
      agent.rolloutAgent.actionEnded(ready || defect.equals("always-ready"), "", 0);
    }

    /** Returns a description that is equal for executions with the same possible continuations. */
    String state() {
      StringBuilder state = new StringBuilder(store.contentWithoutHistory());
      for (RolloutTransaction decision : driverDecisions) {
        state.append(decision == null ? "-" : decision.description()).append(';');
      }
      agents.forEach(
          agent ->
              state
                  .append(
                      agent.decision == null
                          ? "-"
                          : agent.decision.description()
                              + agent.decision.storeTransaction().changes())
                  .append(agent.runningAction)
                  .append(agent.actionFailed)
                  .append(agent.stopped)
                  .append(agent.unreportedResult)
                  .append(';'));
      return state
          .append(remainingLeaseExpiries)
          .append(halted)
          .append(agentReplaced)
          .append(drained)
          .append(
              drainDecision == null
                  ? "-"
                  : drainDecision.description() + drainDecision.storeTransaction())
          .toString();
    }
  }

  private record SearchResult(int states, int depth, String violation, List<String> actions) {}

  private static SearchResult search(String defect) throws AgreementException {
    Set<String> visitedStates = new HashSet<>();
    SearchResult walkResult = randomWalks(defect, visitedStates);
    if (walkResult.violation() != null) {
      return walkResult;
    }
    List<List<String>> openPaths = new ArrayList<>(List.of(List.of()));
    Random random = new Random(1);
    int depth = walkResult.depth();
    Set<String> expandedStates = new HashSet<>();
    while (!openPaths.isEmpty() && expandedStates.size() < MAX_STATES) {
      // Breadth-first, depth-first and random order in turn: none alone finds all planted defects.
      int order = expandedStates.size() % 3;
      List<String> actions =
          openPaths.remove(
              order == 0
                  ? 0
                  : order == 1 ? openPaths.size() - 1 : random.nextInt(openPaths.size()));
      Execution execution = replay(actions, defect);
      if (execution.violation != null) {
        return new SearchResult(visitedStates.size(), depth, execution.violation, actions);
      }
      visitedStates.add(execution.state());
      if (expandedStates.add(execution.state())) {
        depth = Math.max(depth, actions.size());
        for (String next : execution.possibleActions()) {
          List<String> longer = new ArrayList<>(actions);
          longer.add(next);
          openPaths.add(longer);
        }
      }
    }
    return new SearchResult(visitedStates.size(), depth, null, List.of());
  }

  /** Executes random walks, which reach states that are too deep for the bounded search. */
  private static SearchResult randomWalks(String defect, Set<String> visitedStates)
      throws AgreementException {
    Random random = new Random(1);
    for (int i = 0; i < MAX_STATES / 10; i++) {
      Execution execution = new Execution(defect);
      List<String> actions = new ArrayList<>();
      while (actions.size() < MAX_WALK_LENGTH && execution.violation == null) {
        List<String> possible = execution.possibleActions();
        String chosen = possible.get(random.nextInt(possible.size()));
        // External events are chosen rarely, as they would keep most walks from completing steps.
        if (RARE_ACTIONS.contains(chosen) && random.nextInt(8) > 0) {
          continue;
        }
        actions.add(chosen);
        execution.execute(actions.get(actions.size() - 1));
        visitedStates.add(execution.state());
      }
      if (execution.violation != null) {
        return new SearchResult(visitedStates.size(), actions.size(), execution.violation, actions);
      }
    }
    return new SearchResult(visitedStates.size(), MAX_WALK_LENGTH, null, List.of());
  }

  private static Execution replay(List<String> actions, String defect) throws AgreementException {
    Execution execution = new Execution(defect);
    for (String action : actions) {
      execution.execute(action);
    }
    return execution;
  }

  @Test
  void noOrderOfStepsViolatesBudgetOrHaltOrRunsTwoActionsAtOnce() throws AgreementException {
    SearchResult result = search("");
    assertEquals(null, result.violation(), result.actions().toString());
    assertTrue(result.states() >= MAX_STATES, result.states() + " states");
    assertTrue(result.depth() >= 10, "only " + result.depth() + " actions deep");
  }

  /**
   * Defects: a missing condition on the permit counter or on the state of the rollout, an agent
   * that acts whatever the reply, and an agent that reports each action as ready.
   */
  @ParameterizedTest
  @ValueSource(strings = {"counter", "course", "ignored-reply", "always-ready"})
  void findsPlantedDefect(String defect) throws AgreementException {
    SearchResult result = search(defect);
    assertTrue(
        result.violation() != null, defect + " was not found in " + result.states() + " states");
  }
}
