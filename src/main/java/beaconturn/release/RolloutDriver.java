package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * What whoever drives a release does next. Any process may drive it: what it decides rests on what
 * stands in the store, and each of its steps holds only while its number is the driver's. What it
 * remembers by itself is since when it has watched a part; one that takes over watches anew.
 */
public final class RolloutDriver {
  private final RolloutKeys keys;
  private final RolloutTransactions steps;
  private final beaconturn.agreement.AgreementTransactions agreements;
  private final String me;
  private final RolloutHealth health = new RolloutHealth();
  private final InstanceLoad load = new InstanceLoad();
  private String waits = "";

  /** Starts of cache servers as they are known now. */
  private SortedMap<String, Long> starts = new TreeMap<>();

  /** A driver of that incarnation. */
  public RolloutDriver(RolloutKeys keys, String me, Supplier<String> when) {
    this.keys = keys;
    this.steps = new RolloutTransactions(keys, when);
    this.agreements =
        new beaconturn.agreement.AgreementTransactions(new AgreementKeys(keys.fleet()));
    this.me = me;
  }

  /** Whom or what the release waits for, in words; empty where it does not. */
  public String waits() {
    return waits;
  }

  /**
   * Takes the driver's place, if nobody has it and a release is at hand; the place hangs on the
   * lease.
   */
  public RolloutTransaction take(RolloutSnapshot scene, long lease) {
    if (scene.plan() == null || scene.course().over() || !scene.driver().isEmpty()) {
      return null;
    }
    return new RolloutTransaction(
        new StoreRequest.Transaction(
            List.of(new StoreRequest.Condition.Unchanged(keys.driver(), 0)),
            List.of(new StoreRequest.Change.Put(keys.driver(), me, lease))),
        "drives the release");
  }

  /**
   * The step that is due, or null while it waits.
   *
   * @param seen parts that are out though nobody planned it
   * @param now by a clock that never goes back, in nanoseconds
   */
  public RolloutTransaction due(RolloutSnapshot scene, Unavailability seen, long now) {
    return due(scene, seen, null, now);
  }

  /** The same where settings go with the release; {@code agreed} null where that is not known. */
  public RolloutTransaction due(
      RolloutSnapshot scene, Unavailability seen, AgreedVersions agreed, long now) {
    waits = "";
    if (scene.plan() == null || !scene.driver().equals(me)) {
      return null;
    }
    if (scene.replaced()) {
      waits = RolloutSnapshot.REPLACED;
      return null;
    }
    SortedMap<String, String> gone = seen.during(scene);
    starts = seen.latest();
    health.saw(scene, gone, now);
    load.saw(scene, now);
    return switch (scene.course().mode()) {
      case RUNNING ->
          scene.plan().settings() == null || inForce(scene, agreed)
              ? forward(scene, seen, gone, now)
              : settings(scene, agreed);
      case BACKING -> back(scene, gone, agreed);
      default -> null;
    };
  }

  /** Conditions of all that a driver does: it is the driver, and the part stands as it was read. */
  private RolloutTransaction act(
      RolloutSnapshot scene,
      String says,
      List<String> unchanged,
      List<StoreRequest.Change> changes) {
    List<String> all = new ArrayList<>(unchanged);
    all.add(keys.driver());
    return steps.act(scene, me, says, all, changes);
  }

  /** Whether the settings that go with the release are what all routers act on. */
  private static boolean inForce(RolloutSnapshot scene, AgreedVersions agreed) {
    return scene.settings() != null
        && (agreed == null || agreed.settled(scene.settings().number()));
  }

  /** The settings first: what is released may need them, and nothing of it runs yet. */
  private RolloutTransaction settings(RolloutSnapshot scene, AgreedVersions agreed) {
    if (agreed == null) {
      waits = "what is agreed on is not known";
      return null;
    }
    if (scene.settings() == null) {
      ConfigContent now = agreed.seen().current().content();
      return propose(
          scene,
          agreed,
          scene.plan().settings().withDefaults(now).withExclusionsOf(now),
          new ConfigChange(agreed.nextNumber(), now, 0));
    }
    if (agreed.turnedDown(scene.settings().number())) {
      return turn(
          scene, "its settings, version " + scene.settings().number() + ", were turned down");
    }
    waits =
        "version "
            + scene.settings().number()
            + " of its settings waits for "
            + String.join(", ", agreed.waiting());
    return null;
  }

  /**
   * One transaction with the driver's own conditions: a driver that was replaced proposes nothing.
   */
  private RolloutTransaction propose(
      RolloutSnapshot scene,
      AgreedVersions agreed,
      ConfigContent content,
      ConfigChange changeover) {
    try {
      beaconturn.agreement.AgreementStep step =
          agreements.propose(
              agreed.seen(),
              agreed.nextNumber(),
              content,
              "release " + scene.plan().number(),
              scene.plan().reason(),
              agreed.atMillis());
      List<StoreRequest.Change> changes = new ArrayList<>(step.transaction().changes());
      changes.add(steps.put(changeover));
      RolloutTransaction act =
          act(scene, "its settings: " + step.description(), List.of(keys.settings()), changes);
      List<StoreRequest.Condition> conditions = new ArrayList<>(act.swap().conditions());
      conditions.addAll(step.transaction().conditions());
      return new RolloutTransaction(
          new StoreRequest.Transaction(conditions, act.swap().changes()), act.says());
    } catch (AgreementException e) {
      waits = e.getMessage();
      return null;
    }
  }

  /** The settings of before, once no part runs what was released; null once they are in force. */
  private RolloutTransaction settingsBack(RolloutSnapshot scene, AgreedVersions agreed) {
    ConfigChange at = scene.settings();
    if (at.undone() != 0 && agreed.settled(at.undone())) {
      return null;
    }
    if (at.undone() == 0 && agreed.turnedDown(at.number())) {
      // They never came into force: there is nothing to bring back.
      return act(
          scene,
          "its settings never came into force",
          List.of(keys.settings()),
          List.of(new StoreRequest.Change.Delete(keys.settings())));
    }
    if (at.undone() == 0 || agreed.turnedDown(at.undone())) {
      return propose(
          scene,
          agreed,
          at.before().withExclusionsOf(agreed.seen().current().content()),
          new ConfigChange(at.number(), at.before(), agreed.nextNumber()));
    }
    waits =
        "version "
            + at.undone()
            + ", its settings of before, waits for "
            + String.join(", ", agreed.waiting());
    return null;
  }

  private RolloutTransaction forward(
      RolloutSnapshot scene, Unavailability seen, Map<String, String> gone, long now) {
    for (RolloutStep step : scene.steps().values()) {
      if (step.phase() == RolloutStep.Phase.FAILED) {
        return turn(scene, step.id() + " did not get ready: " + step.why());
      }
      if (step.phase() == RolloutStep.Phase.GRANTED || step.phase() == RolloutStep.Phase.BEGUN) {
        waits = step.id() + " is acted on";
      }
      if (step.phase() == RolloutStep.Phase.UP && step.variant() == InstanceVariant.OLD) {
        return turn(scene, step.id() + " was brought back by its agent: " + step.why());
      }
      if (step.phase() == RolloutStep.Phase.UP) {
        RolloutHealth.Word word = health.of(scene, step, gone, now);
        if (word.verdict() == RolloutHealth.Verdict.BAD) {
          return turn(scene, step.id() + " does worse: " + word.says());
        }
        if (word.verdict() == RolloutHealth.Verdict.GOOD) {
          return act(
              scene,
              step.id() + " has stood the check: " + word.says(),
              List.of(keys.step(step.id())),
              List.of(
                  steps.put(step.to(RolloutStep.Phase.GOOD, step.agent(), "")),
                  steps.back(step.permit())));
        }
        waits = step.id() + " is watched: " + word.says();
      }
    }
    RolloutHealth.Word later = health.later(scene, now);
    if (later != null) {
      return turn(scene, later.says());
    }
    for (List<String> wave : scene.plan().waves()) {
      if (!wave.stream()
          .allMatch(
              id ->
                  is(scene, id, RolloutStep.Phase.GOOD)
                      || is(scene, id, RolloutStep.Phase.UNDONE))) {
        return next(scene, wave, seen, gone, now);
      }
    }
    return act(
        scene,
        "all parts run what is released",
        List.of(),
        List.of(
            steps.put(
                new RolloutState(RolloutState.Mode.DONE, "all parts have stood the check", me))));
  }

  private static boolean is(RolloutSnapshot scene, String id, RolloutStep.Phase phase) {
    RolloutStep step = scene.steps().get(id);
    return step != null && step.phase() == phase;
  }

  private RolloutTransaction turn(RolloutSnapshot scene, String why) {
    return act(
        scene,
        "goes back: " + why,
        List.of(),
        List.of(steps.put(new RolloutState(RolloutState.Mode.BACKING, why, me))));
  }

  private RolloutTransaction next(
      RolloutSnapshot scene,
      List<String> wave,
      Unavailability seen,
      Map<String, String> gone,
      long now) {
    for (String id : wave) {
      if (scene.steps().get(id) == null) {
        String full = scene.full(scene.plan().kind(), id, seen, gone);
        if (full == null) {
          full = load.tooMuch(scene, id, scene.out(scene.plan().kind(), gone).keySet(), now);
        }
        if (full == null) {
          return grant(scene, id, InstanceVariant.NEW, gone);
        }
        waits = id + ": " + full;
      }
    }
    return null;
  }

  /**
   * Takes a place and has the part go out; the counter holds the place against all who count at the
   * time.
   */
  private RolloutTransaction grant(
      RolloutSnapshot scene, String id, InstanceVariant variant, Map<String, String> gone) {
    long number = scene.counter() + 1;
    DisruptionPermit permit =
        new DisruptionPermit(
            number,
            scene.plan().kind(),
            id,
            "release " + scene.plan().number(),
            variant == InstanceVariant.NEW
                ? scene.plan().reason()
                : "back: " + scene.course().why());
    Set<String> out = new HashSet<>(scene.out(scene.plan().kind(), gone).keySet());
    out.add(id);
    return act(
        scene,
        id + " goes out under permit " + number + ", " + out.size() + " out",
        List.of(keys.counter(), keys.parts(), keys.step(id)),
        List.of(steps.counted(number), steps.put(permit), steps.put(granted(id, number, variant))));
  }

  private RolloutStep granted(String id, long number, InstanceVariant variant) {
    return new RolloutStep(
        id, number, RolloutStep.Phase.GRANTED, variant, "", "", starts.getOrDefault(id, -1L), 0);
  }

  /**
   * Undoes in the reverse order; what was not begun is taken back, what runs the new goes back to
   * the old.
   */
  private RolloutTransaction back(
      RolloutSnapshot scene, Map<String, String> gone, AgreedVersions agreed) {
    List<String> order = new ArrayList<>(scene.plan().parts());
    Collections.reverse(order);
    boolean open = false;
    for (String id : order) {
      RolloutStep step = scene.steps().get(id);
      if (step == null || step.phase() == RolloutStep.Phase.UNDONE) {
        continue;
      }
      open = true;
      RolloutTransaction act = undo(scene, step, gone);
      if (act != null) {
        return act;
      }
    }
    if (!open && scene.settings() != null) {
      if (agreed == null) {
        waits = "what is agreed on is not known";
        return null;
      }
      RolloutTransaction act = settingsBack(scene, agreed);
      if (act != null || !waits.isEmpty()) {
        return act;
      }
    }
    return open
        ? null
        : act(
            scene,
            "all parts run again what they ran before",
            List.of(),
            List.of(steps.put(new RolloutState(RolloutState.Mode.BACK, scene.course().why(), me))));
  }

  private RolloutTransaction undo(
      RolloutSnapshot scene, RolloutStep step, Map<String, String> gone) {
    String key = keys.step(step.id());
    switch (step.phase()) {
      case GRANTED -> {
        if (step.variant() == InstanceVariant.NEW) {
          return act(
              scene,
              step.id() + " was not begun, its place is given back",
              List.of(key),
              List.of(
                  steps.put(step.to(RolloutStep.Phase.UNDONE, "", "")), steps.back(step.permit())));
        }
        waits = step.id() + " is to go back";
      }
      case BEGUN -> waits = step.id() + " is acted on";
      case UP, FAILED -> {
        if (step.variant() == InstanceVariant.OLD
            && step.phase() == RolloutStep.Phase.UP
            && gone.containsKey(step.id())) {
          waits = step.id() + " is not seen back: " + gone.get(step.id());
          return null;
        }
        if (step.variant() == InstanceVariant.OLD) {
          return step.phase() == RolloutStep.Phase.FAILED
              ? stuck(step)
              : act(
                  scene,
                  step.id() + " runs again what it ran before",
                  List.of(key),
                  List.of(
                      steps.put(step.to(RolloutStep.Phase.UNDONE, step.agent(), "")),
                      steps.back(step.permit())));
        }
        // It holds its place still.
        return act(
            scene,
            step.id() + " goes back under permit " + step.permit(),
            List.of(key),
            List.of(steps.put(granted(step.id(), step.permit(), InstanceVariant.OLD))));
      }
      default -> {
        String full = scene.full(scene.plan().kind(), step.id(), gone);
        if (full == null) {
          return grant(scene, step.id(), InstanceVariant.OLD, gone);
        }
        waits = step.id() + ": " + full;
      }
    }
    return null;
  }

  private RolloutTransaction stuck(RolloutStep step) {
    waits = step.id() + " cannot be brought back: " + step.why();
    return null;
  }
}
