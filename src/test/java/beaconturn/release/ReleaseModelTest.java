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
 * Every order of the steps of two drivers, the agents of two routers, an agent that takes the place
 * of another, and an operator who halts and drains, up to a bound: what was decided on may be over
 * when it is done. One router may be out at a time.
 */
class ReleaseModelTest {
  /** In CI; {@code -Dmodel.states=200000} for a longer search. */
  private static final int MOST_STATES = Integer.getInteger("model.states", 3000);

  private static final int LONGEST_WALK = 40;
  private static final List<String> RARE =
      List.of("halt", "replace", "lease", "wants r2 out", "takes r2 out");
  private static final long TIMEOUT = 100;

  /** One sequence of moves, from the begin of a release. */
  private static final class Play {
    private final InMemoryStore store;
    private final RolloutDriver[] drivers = {
      new RolloutDriver(InMemoryStore.KEYS, "d0", () -> ""),
      new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "")
    };
    private final RolloutTransaction[] decided = new RolloutTransaction[2];
    private final List<AgentPlay> agents = new ArrayList<>();
    private final String defect;
    private int leases = 1;
    private boolean halted;
    private boolean replaced;
    private RolloutTransaction drain;
    private boolean drained;
    private String violation;

    /** An agent, what it has decided and what it does. */
    private static final class AgentPlay {
      private final String id;
      private final RolloutAgent rolloutAgent;
      private RolloutTransaction act;
      private InstanceVariant running;
      private boolean failed;
      private boolean dead;

      /** How the last action ended, until it is reported. */
      private String unreported = "";

      private AgentPlay(InMemoryStore store, String id, String me) {
        this.id = id;
        this.rolloutAgent = store.agent(id, me, TIMEOUT);
      }
    }

    Play(String defect) throws AgreementException {
      this.defect = defect;
      store = InMemoryStore.with(1, 1).begin(0, List.of(List.of("r1", "r2")));
      // The condition on the history goes too, which would catch many of the defects by itself.
      store.ignores =
          key ->
              !defect.isEmpty()
                  && (key.contains("/release/" + defect)
                      || key.endsWith("/release/told")
                      || (defect.equals("course") && key.endsWith("/plan")));
      agents.add(new AgentPlay(store, "r1", "a"));
      agents.add(new AgentPlay(store, "r2", "b"));
    }

    /** The moves that are possible now. */
    List<String> moves() {
      List<String> all = new ArrayList<>();
      RolloutSnapshot snapshot = store.snapshot();
      for (int i = 0; i < 2; i++) {
        if (decided[i] != null) {
          all.add("drive " + i);
        } else if (drivers[i].acquireLease(snapshot, 1) != null
            || drivers[i].nextTransaction(snapshot, Unavailability.of(Map.of()), 0) != null) {
          all.add("decide " + i);
        }
      }
      for (int i = 0; i < agents.size(); i++) {
        AgentPlay agent = agents.get(i);
        if (agent.dead) {
          continue;
        }
        if (agent.running != null) {
          all.add("ends " + i);
          all.add("fails " + i);
        } else {
          all.add((agent.act == null ? "looks " : "acts ") + i);
        }
      }
      if (leases > 0 && !snapshot.driver().isEmpty()) {
        all.add("lease");
      }
      if (!halted) {
        all.add("halt");
      } else if (snapshot.state().mode() == RolloutMode.HALTED) {
        all.add("resume");
      }
      if (!replaced) {
        all.add("replace");
      }
      if (!drained) {
        all.add(drain == null ? "wants r2 out" : "takes r2 out");
      }
      return all;
    }

    void move(String name) throws AgreementException {
      String[] words = name.split(" ");
      int i = words.length == 2 ? Integer.parseInt(words[1]) : 0;
      switch (words[0]) {
        case "decide" -> {
          RolloutTransaction take = drivers[i].acquireLease(store.snapshot(), 1);
          decided[i] =
              take != null
                  ? take
                  : drivers[i].nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0);
        }
        case "drive" -> {
          store.commits(decided[i]);
          decided[i] = null;
        }
        case "looks" ->
            agents.get(i).act = agents.get(i).rolloutAgent.nextTransaction(store.snapshot(), 0);
        case "acts" -> startAction(agents.get(i));
        case "ends", "fails" -> endAction(agents.get(i), words[0].equals("ends"));
        case "lease" -> {
          leases--;
          store.driverGone();
        }
        case "halt" -> {
          halted = true;
          if (!store.snapshot().state().isOver()) {
            store.admin().halt("wait");
          }
        }
        case "resume" -> store.admin().resume("go on");
        case "replace" -> {
          // The agent has died; the action it began goes on, and nobody learns of its end.
          replaced = true;
          agents.get(0).dead = true;
          agents.get(0).running = null;
          store.agentGone("r1");
          agents.add(new AgentPlay(store, "r1", "c"));
        }
        case "wants" -> drain = decideDrain();
        default -> {
          drained = true;
          if (drain.storeTransaction() != null && store.commits(drain)) {
            out("r2 by hand");
          }
        }
      }
    }

    /** A drain decides on what it reads, and takes its permit later. */
    private RolloutTransaction decideDrain() {
      List<RolloutTransaction> caught = new ArrayList<>();
      DisruptionPermitAdmin permits =
          new DisruptionPermitAdmin(
              InMemoryStore.KEYS,
              call -> {
                if (call instanceof StoreRequest.Transaction swap) {
                  caught.add(new RolloutTransaction(swap, ""));
                  return new StoreResponse.RequestFailed("caught");
                }
                return store.ask(call);
              },
              "op",
              () -> "");
      try {
        permits.takePermit(InstanceKind.ROUTER, "r2", "by hand", Unavailability.of(Map.of()));
      } catch (AgreementException e) {
        return caught.isEmpty() ? new RolloutTransaction(null, e.getMessage()) : caught.get(0);
      }
      throw new IllegalStateException("nothing was caught");
    }

    private void startAction(AgentPlay agent) {
      boolean held = store.commits(agent.act);
      agent.act = null;
      agent.unreported = held ? "" : agent.unreported;
      RolloutMode mode = store.snapshot().state().mode();
      agent.running = agent.rolloutAgent.transactionCompleted(held || defect.equals("answer"), 0);
      if (agent.running == null) {
        return;
      }
      if (mode == RolloutMode.HALTED) {
        violation = agent.id + " begins while all is halted";
      }
      if (agents.stream().anyMatch(h -> h != agent && h.id.equals(agent.id) && h.running != null)) {
        violation = agent.id + " is acted on twice at once";
      }
      out(agent.id);
    }

    /** Instances that are acted on or have failed are out, and r2 once it is drained. */
    private void out(String what) {
      Set<String> out = new HashSet<>();
      agents.stream().filter(h -> h.running != null || h.failed).forEach(h -> out.add(h.id));
      if (what.endsWith("by hand")) {
        out.add("r2");
      } else if (drained
          && store.snapshot().permits().values().stream().anyMatch(p -> p.holder().equals("op"))) {
        out.add("r2");
      }
      if (out.size() > 1) {
        violation = what + " goes out, and so " + out + " are";
      }
    }

    private void endAction(AgentPlay agent, boolean ready) {
      agent.running = null;
      agents.stream().filter(h -> h.id.equals(agent.id)).forEach(h -> h.failed = !ready);
      agent.unreported = ready ? "ready" : "failed";
      agent.rolloutAgent.actionEnded(ready || defect.equals("lies"), "", 0);
    }

    /** Two plays in the same state go on the same. */
    String state() {
      StringBuilder out = new StringBuilder(store.text());
      for (RolloutTransaction act : decided) {
        out.append(act == null ? "-" : act.description()).append(';');
      }
      agents.forEach(
          h ->
              out.append(h.act == null ? "-" : h.act.description() + h.act.storeTransaction().changes())
                  .append(h.running)
                  .append(h.failed)
                  .append(h.dead)
                  .append(h.unreported)
                  .append(';'));
      return out.append(leases)
          .append(halted)
          .append(replaced)
          .append(drained)
          .append(drain == null ? "-" : drain.description() + drain.storeTransaction())
          .toString();
    }
  }

  private record Found(int states, int depth, String violation, List<String> moves) {}

  private static Found search(String defect) throws AgreementException {
    Set<String> seen = new HashSet<>();
    Found walked = walk(defect, seen);
    if (walked.violation() != null) {
      return walked;
    }
    List<List<String>> open = new ArrayList<>(List.of(List.of()));
    Random random = new Random(1);
    int depth = walked.depth();
    Set<String> expanded = new HashSet<>();
    while (!open.isEmpty() && expanded.size() < MOST_STATES) {
      // Short plays, long ones and any: neither breadth nor depth alone finds all within the bound.
      int which = expanded.size() % 3;
      List<String> moves =
          open.remove(which == 0 ? 0 : which == 1 ? open.size() - 1 : random.nextInt(open.size()));
      Play play = replay(moves, defect);
      if (play.violation != null) {
        return new Found(seen.size(), depth, play.violation, moves);
      }
      seen.add(play.state());
      if (expanded.add(play.state())) {
        depth = Math.max(depth, moves.size());
        for (String next : play.moves()) {
          List<String> longer = new ArrayList<>(moves);
          longer.add(next);
          open.add(longer);
        }
      }
    }
    return new Found(seen.size(), depth, null, List.of());
  }

  /** Random plays to their end, which a search from the beginning would not reach. */
  private static Found walk(String defect, Set<String> seen) throws AgreementException {
    Random random = new Random(1);
    for (int i = 0; i < MOST_STATES / 10; i++) {
      Play play = new Play(defect);
      List<String> moves = new ArrayList<>();
      while (moves.size() < LONGEST_WALK && play.violation == null) {
        List<String> next = play.moves();
        String chosen = next.get(random.nextInt(next.size()));
        // Moves from outside are rare, else few plays get far.
        if (RARE.contains(chosen) && random.nextInt(8) > 0) {
          continue;
        }
        moves.add(chosen);
        play.move(moves.get(moves.size() - 1));
        seen.add(play.state());
      }
      if (play.violation != null) {
        return new Found(seen.size(), moves.size(), play.violation, moves);
      }
    }
    return new Found(seen.size(), LONGEST_WALK, null, List.of());
  }

  private static Play replay(List<String> moves, String defect) throws AgreementException {
    Play play = new Play(defect);
    for (String move : moves) {
      play.move(move);
    }
    return play;
  }

  @Test
  void inNoOrderOfStepsAreTooManyOutOrDoesAnyActTwiceOrAgainstAHalt() throws AgreementException {
    Found found = search("");
    assertEquals(null, found.violation(), found.moves().toString());
    assertTrue(found.states() >= MOST_STATES, found.states() + " states");
    assertTrue(found.depth() >= 10, "only " + found.depth() + " moves deep");
  }

  /**
   * Conditions left out; an agent that acts whatever the response was; one that reports all as
   * ready.
   */
  @ParameterizedTest
  @ValueSource(strings = {"counter", "course", "answer", "lies"})
  void aPlantedDefectIsFound(String defect) throws AgreementException {
    Found found = search(defect);
    assertTrue(
        found.violation() != null, defect + " was not found in " + found.states() + " states");
  }
}
