package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * What operators do with releases: each order reads what stands in the store and takes one step.
 */
public final class RolloutAdmin {
  private static final int TRIES = 5;
  private final RolloutKeys keys;
  private final RolloutTransactions steps;
  private final CoordinationStore store;
  private final String author;

  /** A desk at a store, for one fleet and operator. */
  public RolloutAdmin(
      RolloutKeys keys, CoordinationStore store, String author, Supplier<String> when) {
    this.keys = keys;
    this.steps = new RolloutTransactions(keys, when);
    this.store = store;
    this.author = author;
  }

  /** What is made of what stands there, or null where there is nothing to do. */
  private interface Order {
    RolloutTransaction on(RolloutSnapshot scene) throws AgreementException;
  }

  private StoreResponse.Success given(StoreRequest call) throws AgreementException {
    return ConfigAdmin.requireSuccess(store, call);
  }

  /** What stands in the store now. */
  public RolloutSnapshot look() throws AgreementException {
    return RolloutSnapshot.of(keys, given(new StoreRequest.Read(keys.all())));
  }

  /** Somebody else may take a step at the same time: then it looks again. */
  private String carryOut(Order order) throws AgreementException {
    for (int i = 0; i < TRIES; i++) {
      RolloutTransaction act = order.on(look());
      if (given(act.swap()).conditionsHeld()) {
        return act.says();
      }
    }
    throw new AgreementException("not done, things keep changing: look again");
  }

  /** Says who belongs to the fleet and how much may be out; counts from the next step on. */
  public String fleet(ReleaseFleet fleet) throws AgreementException {
    return carryOut(
        scene ->
            steps.act(
                scene,
                author,
                "the fleet and what may be out of it are said anew",
                List.of(keys.parts()),
                List.of(RolloutTransactions.put(keys.parts(), RolloutCodec.of(fleet)))));
  }

  /** Begins a release; its number is the one after the last. */
  public String start(RolloutPlan wanted) throws AgreementException {
    return carryOut(
        scene -> {
          if (!scene.course().over()) {
            throw new AgreementException(
                "release " + scene.plan().number() + " is at hand: it " + words(scene.course()));
          }
          String objection = objection(wanted, scene);
          if (objection != null) {
            throw new AgreementException(objection);
          }
          long number = scene.plan() == null ? 1 : scene.plan().number() + 1;
          RolloutPlan plan = wanted.begun(number, scene.cluster());
          List<StoreRequest.Change> changes =
              new ArrayList<>(
                  List.of(
                      RolloutTransactions.put(keys.plan(), RolloutCodec.of(plan)),
                      steps.put(
                          new RolloutState(RolloutState.Mode.RUNNING, plan.reason(), author))));
          scene
              .steps()
              .keySet()
              .forEach(id -> changes.add(new StoreRequest.Change.Delete(keys.step(id))));
          if (scene.settings() != null) {
            changes.add(new StoreRequest.Change.Delete(keys.settings()));
          }
          return steps.act(
              scene,
              author,
              "release " + number + " begins: " + plan.reason(),
              List.of(keys.parts()),
              changes);
        });
  }

  /** Why the release cannot be begun as things are, or null. */
  public static String objection(RolloutPlan wanted, RolloutSnapshot scene) {
    String shape = wanted.objection(scene.fleet());
    return shape != null ? shape : InstanceLoad.objection(wanted, scene);
  }

  /** The curve of a release; empty where none was drawn. */
  public RolloutTimeSeries curve(long release) throws AgreementException {
    List<StoreResponse.Entry> found = given(new StoreRequest.Read(keys.curve(release))).entries();
    return found.isEmpty() ? RolloutTimeSeries.NONE : RolloutTimeSeries.of(found.get(0).value());
  }

  /** Has no step begin from now on. */
  public String halt(String why) throws AgreementException {
    return turn(
        "halted",
        why,
        RolloutState.Mode.HALTED,
        RolloutState.Mode.RUNNING,
        RolloutState.Mode.BACKING);
  }

  /** Goes on where it was halted. */
  public String resume(String why) throws AgreementException {
    return turn("goes on", why, RolloutState.Mode.RUNNING, RolloutState.Mode.HALTED);
  }

  /** Undoes all steps in the reverse order. */
  public String back(String why) throws AgreementException {
    return turn(
        "goes back",
        why,
        RolloutState.Mode.BACKING,
        RolloutState.Mode.RUNNING,
        RolloutState.Mode.HALTED);
  }

  /** Leaves all as it is; permits stay with parts that are out. */
  public String abandon(String why) throws AgreementException {
    return turn(
        "abandoned",
        why,
        RolloutState.Mode.ABANDONED,
        RolloutState.Mode.RUNNING,
        RolloutState.Mode.HALTED,
        RolloutState.Mode.BACKING);
  }

  private String turn(String says, String why, RolloutState.Mode to, RolloutState.Mode... from)
      throws AgreementException {
    return carryOut(
        scene -> {
          if (scene.plan() == null || !List.of(from).contains(scene.course().mode())) {
            throw new AgreementException(
                "not now: "
                    + (scene.plan() == null
                        ? "there is no release"
                        : "release " + scene.plan().number() + " " + words(scene.course())));
          }
          if (scene.replaced()
              && to != RolloutState.Mode.ABANDONED
              && to != RolloutState.Mode.HALTED) {
            throw new AgreementException(RolloutSnapshot.REPLACED);
          }
          return steps.act(
              scene,
              author,
              "release " + scene.plan().number() + " " + says + ": " + why,
              List.of(),
              List.of(steps.put(new RolloutState(to, why, author))));
        });
  }

  /** What a release is at, in words. */
  public static String words(RolloutState course) {
    return switch (course.mode()) {
      case RUNNING -> "runs";
      case HALTED -> "is halted: " + course.why();
      case BACKING -> "goes back: " + course.why();
      case DONE -> "is done";
      case BACK -> "is undone: " + course.why();
      case ABANDONED -> "is abandoned: " + course.why();
    };
  }

  /**
   * Takes a place for a part outside of a release, for instance a drain by hand; its number.
   * Refused in words while none is free.
   *
   * @param seen what is out though nobody planned it
   */
  public long take(InstanceKind kind, String id, String reason, Unavailability seen)
      throws AgreementException {
    carryOut(
        scene -> {
          if (holds(scene, kind, id) != null) {
            throw new AgreementException(
                id + " is out under permit " + holds(scene, kind, id).number());
          }
          String full = scene.full(kind, id, seen, seen.out());
          if (full != null) {
            throw new AgreementException("no place is free: " + full);
          }
          long number = scene.counter() + 1;
          return steps.act(
              scene,
              author,
              id + " goes out under permit " + number + ": " + reason,
              List.of(keys.counter(), keys.parts()),
              List.of(
                  steps.counted(number),
                  steps.put(new DisruptionPermit(number, kind, id, author, reason))));
        });
    return holds(look(), kind, id).number();
  }

  /** Gives the place of a part back that is seen back, or that an operator knows to be dead. */
  public String giveBack(InstanceKind kind, String id, String why) throws AgreementException {
    return carryOut(
        scene -> {
          DisruptionPermit permit = holds(scene, kind, id);
          if (permit == null) {
            throw new AgreementException(id + " holds no place");
          }
          List<StoreRequest.Change> changes = new ArrayList<>(List.of(steps.back(permit.number())));
          RolloutStep step = scene.steps().get(id);
          if (step != null && step.permit() == permit.number()) {
            // Whoever holds the old number can do nothing with it any more.
            changes.add(steps.put(step.to(RolloutStep.Phase.UNDONE, "", why)));
          }
          return steps.act(
              scene,
              author,
              id + " gives permit " + permit.number() + " back: " + why,
              step == null ? List.of() : List.of(keys.step(id)),
              changes);
        });
  }

  /**
   * What must hold, and what changes, when a whole site is taken out: no part of another one is out
   * under a permit, and who takes a place at the same time has to look again. Refused in words.
   */
  public StoreRequest.Transaction siteOut(String site, String reason) throws AgreementException {
    RolloutSnapshot scene = look();
    if (scene.fleet().groups().isEmpty()) {
      return new StoreRequest.Transaction(List.of(), List.of());
    }
    List<String> others =
        scene.permits().values().stream()
            .filter(p -> !site.equals(scene.fleet().group(p.kind()).siteOf(p.id())))
            .map(
                p ->
                    p.id()
                        + " (permit "
                        + p.number()
                        + " of "
                        + p.holder()
                        + ": "
                        + p.reason()
                        + ")")
            .toList();
    if (!others.isEmpty()) {
      throw new AgreementException(
          "not while parts of other sites are out: " + String.join(", ", others));
    }
    return steps
        .act(
            scene,
            author,
            "site " + site + " is taken out: " + reason,
            List.of(keys.counter(), keys.parts()),
            List.of(steps.counted(scene.counter() + 1)))
        .swap();
  }

  private static DisruptionPermit holds(RolloutSnapshot scene, InstanceKind kind, String id) {
    return scene.permits().values().stream()
        .filter(p -> p.kind() == kind && p.id().equals(id))
        .findFirst()
        .orElse(null);
  }

  /** All that was done, the oldest first. */
  public List<String> history() throws AgreementException {
    return given(new StoreRequest.Read(keys.stories())).entries().stream()
        .map(StoreResponse.Entry::value)
        .toList();
  }
}
