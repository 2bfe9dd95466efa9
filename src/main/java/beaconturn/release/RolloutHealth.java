package beaconturn.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Compares parts that run what is released with those that do not, over the same time: by what they
 * answer, how late, and what that takes. Yesterday's figures say nothing, as load and troubles are
 * today's.
 */
final class RolloutHealth {
  /** While others are gone by themselves only what fails more often than not is the release's. */
  private static final double MOSTLY = 0.5;

  /**
   * When a part that is up was first seen so, and what all had answered by then; and what they had
   * when it was back and nobody else was gone by itself, from which on they are compared.
   */
  private record Begun(
      long at, Map<String, InstanceSample> then, Map<String, InstanceSample> clean) {}

  /** Since when parts that are up are seen in service. */
  private final Map<String, Long> back = new HashMap<>();

  /**
   * Whether somebody is out whom the release did not take out, or was a moment ago: one that has
   * just started then does worse than those that have learned of it, whatever it runs.
   */
  private boolean troubled;

  private long calmAt = Long.MIN_VALUE;

  private final Map<String, Begun> begun = new HashMap<>();
  private final SortedMap<String, Long> ejectedSince = new TreeMap<>();

  /** What all had answered when a part that has stood the check was last compared. */
  private final Map<String, Map<String, InstanceSample>> stood = new HashMap<>();

  /** What is to be thought of a part. */
  enum Verdict {
    WAIT,
    GOOD,
    BAD
  }

  /** A verdict and its figures, in words. */
  record Word(Verdict verdict, String says) {}

  /** Remembers when parts came up; to be told of each scene before it is asked. */
  void saw(RolloutSnapshot scene, Map<String, String> gone, long now) {
    boolean others =
        gone.keySet().stream()
            .anyMatch(id -> scene.permits().values().stream().noneMatch(p -> p.id().equals(id)));
    ejected(scene, gone, now);
    calmAt = others ? now + scene.plan().soak() : calmAt;
    troubled = others || now < calmAt;
    Map<String, InstanceSample> health = Map.copyOf(scene.health());
    for (RolloutStep step : scene.steps().values()) {
      boolean up = step.phase() == RolloutStep.Phase.UP && step.variant() == InstanceVariant.NEW;
      String key = key(step);
      if (up) {
        Begun before = begun.computeIfAbsent(key, k -> new Begun(now, health, health));
        InstanceSample base = before.clean().get(step.id());
        // What a process has answered before anybody was told of it is of another time.
        boolean another =
            base != null
                && health.containsKey(step.id())
                && !health.get(step.id()).process().equals(base.process());
        if (troubled || another || gone.containsKey(step.id())) {
          begun.put(key, new Begun(before.at(), before.then(), health));
        }
      } else if (troubled) {
        stood.remove(key);
      }
      if (gone.containsKey(step.id())) {
        back.remove(key);
      } else if (up) {
        back.putIfAbsent(key, now);
      }
    }
  }

  private static String key(RolloutStep step) {
    return step.id() + "#" + step.permit();
  }

  /** Whether the part has stood the check. */
  Word of(RolloutSnapshot scene, RolloutStep step, Map<String, String> gone, long now) {
    Begun since = begun.get(key(step));
    if (since == null) {
      return new Word(Verdict.WAIT, "just up");
    }
    RolloutPlan plan = scene.plan();
    Long inService = back.get(key(step));
    if (inService == null) {
      // A router waits for its lease; a cache server is to be warm within its limit.
      boolean late = plan.kind() == InstanceKind.CACHE && now - since.at() > plan.limit();
      return new Word(late ? Verdict.BAD : Verdict.WAIT, "not seen back: " + gone.get(step.id()));
    }
    boolean soaked = now - inService >= plan.soak();
    if (plan.kind() == InstanceKind.CACHE && !scene.health().containsKey(step.id())) {
      return new Word(soaked ? Verdict.GOOD : Verdict.WAIT, "in service at most routers");
    }
    if (troubled) {
      boolean mostly = since(scene, step.id(), since.then()).badShare() > MOSTLY;
      Word word = compared(scene, step.id(), since.then(), false, false);
      return mostly && word.verdict() == Verdict.BAD
          ? word
          : new Word(Verdict.WAIT, "others are gone by themselves; " + word.says());
    }
    Word word = compared(scene, step.id(), since.clean(), soaked, false);
    return word.verdict() == Verdict.GOOD && !soaked ? new Word(Verdict.WAIT, word.says()) : word;
  }

  /**
   * Since when cache servers that have stood the check are ejected by most routers, and none of
   * those that are not changed is: what all suffer from is not the release's.
   */
  private void ejected(RolloutSnapshot scene, Map<String, String> gone, long now) {
    Set<String> ejected = new TreeSet<>();
    gone.forEach(
        (id, why) -> {
          if (why.startsWith(Unavailability.EJECTED)) {
            ejected.add(id);
          }
        });
    boolean all = ejected.stream().anyMatch(id -> !scene.steps().containsKey(id));
    ejected.removeIf(
        id ->
            all
                || !scene.steps().containsKey(id)
                || scene.steps().get(id).phase() != RolloutStep.Phase.GOOD);
    ejectedSince.keySet().retainAll(ejected);
    ejected.forEach(id -> ejectedSince.putIfAbsent(id, now));
  }

  /**
   * Whether one of those that have stood the check does worse by now, which is watched as long as
   * there are parts to compare it with: what harms may take minutes to do so. Null where none does.
   */
  Word later(RolloutSnapshot scene, long now) {
    for (Map.Entry<String, Long> ejected : ejectedSince.entrySet()) {
      if (now - ejected.getValue() > scene.plan().limit()) {
        return new Word(
            Verdict.BAD, ejected.getKey() + " was ejected after it had stood the check");
      }
    }
    Set<String> told = told(scene);
    for (RolloutStep step : scene.steps().values()) {
      if (step.phase() != RolloutStep.Phase.GOOD
          || !told.contains(step.id())
          || scene.steps().keySet().containsAll(told)) {
        continue;
      }
      Map<String, InstanceSample> then =
          stood.computeIfAbsent(key(step), k -> Map.copyOf(scene.health()));
      Word word = compared(scene, step.id(), then, true, true);
      if (word.verdict() == Verdict.BAD) {
        return new Word(
            Verdict.BAD, step.id() + " does worse since it stood the check: " + word.says());
      }
      if (word.verdict() == Verdict.GOOD) {
        stood.put(key(step), Map.copyOf(scene.health()));
      }
    }
    return null;
  }

  /** Parts of the kind at hand that tell how they do. */
  private static Set<String> told(RolloutSnapshot scene) {
    Set<String> all = new TreeSet<>(scene.health().keySet());
    all.retainAll(scene.fleet().group(scene.plan().kind()).all());
    return all;
  }

  /** With the parts not yet changed; where all are, with those that have stood the check. */
  private static Word compared(
      RolloutSnapshot scene,
      String id,
      Map<String, InstanceSample> then,
      boolean soaked,
      boolean waits) {
    RolloutPlan plan = scene.plan();
    List<String> with = new ArrayList<>(told(scene));
    with.remove(id);
    List<String> unchanged = with.stream().filter(o -> scene.steps().get(o) == null).toList();
    with =
        unchanged.isEmpty()
            ? with.stream()
                .filter(o -> scene.steps().get(o).phase() == RolloutStep.Phase.GOOD)
                .toList()
            : unchanged;
    InstanceSample changed = since(scene, id, then);
    InstanceSample others = InstanceSample.NONE;
    for (String other : with) {
      // Of one that has come since, nobody knows over which time its answers are.
      others =
          others.plus(then.containsKey(other) ? since(scene, other, then) : InstanceSample.NONE);
    }
    return new CanaryComparison(plan, changed, others, with.size()).word(soaked, waits);
  }

  private static InstanceSample since(
      RolloutSnapshot scene, String id, Map<String, InstanceSample> then) {
    return scene
        .health()
        .getOrDefault(id, InstanceSample.NONE)
        .since(then.getOrDefault(id, InstanceSample.NONE));
  }
}
