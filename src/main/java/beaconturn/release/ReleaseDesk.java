package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
import beaconturn.agreement.Desk;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * What operators do with releases: each order reads what stands in the store and takes one step.
 */
public final class ReleaseDesk {
  private static final int TRIES = 5;
  private final ReleaseKeys keys;
  private final Steps steps;
  private final Desk.Store store;
  private final String author;

  /** A desk at a store, for one fleet and operator. */
  public ReleaseDesk(ReleaseKeys keys, Desk.Store store, String author, Supplier<String> when) {
    this.keys = keys;
    this.steps = new Steps(keys, when);
    this.store = store;
    this.author = author;
  }

  /** What is made of what stands there, or null where there is nothing to do. */
  private interface Order {
    Act on(Scene scene) throws AgreementException;
  }

  private Answer.Given given(Call call) throws AgreementException {
    return Desk.given(store, call);
  }

  /** What stands in the store now. */
  public Scene look() throws AgreementException {
    return Scene.of(keys, given(new Call.Read(keys.all())));
  }

  /** Somebody else may take a step at the same time: then it looks again. */
  private String carryOut(Order order) throws AgreementException {
    for (int i = 0; i < TRIES; i++) {
      Act act = order.on(look());
      if (given(act.swap()).held()) {
        return act.says();
      }
    }
    throw new AgreementException("not done, things keep changing: look again");
  }

  /** Says who belongs to the fleet and how much may be out; counts from the next step on. */
  public String fleet(Fleet fleet) throws AgreementException {
    return carryOut(
        scene ->
            steps.act(
                scene,
                author,
                "the fleet and what may be out of it are said anew",
                List.of(keys.parts()),
                List.of(Steps.put(keys.parts(), ReleaseTexts.of(fleet)))));
  }

  /** Begins a release; its number is the one after the last. */
  public String start(Plan wanted) throws AgreementException {
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
          Plan plan = wanted.begun(number, scene.cluster());
          List<Call.Change> changes =
              new ArrayList<>(
                  List.of(
                      Steps.put(keys.plan(), ReleaseTexts.of(plan)),
                      steps.put(new Course(Course.Mode.RUNNING, plan.reason(), author))));
          scene.steps().keySet().forEach(id -> changes.add(new Call.Change.Delete(keys.step(id))));
          if (scene.settings() != null) {
            changes.add(new Call.Change.Delete(keys.settings()));
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
  public static String objection(Plan wanted, Scene scene) {
    String shape = wanted.objection(scene.fleet());
    return shape != null ? shape : Load.objection(wanted, scene);
  }

  /** The curve of a release; empty where none was drawn. */
  public Curve curve(long release) throws AgreementException {
    List<Answer.Pair> found = given(new Call.Read(keys.curve(release))).pairs();
    return found.isEmpty() ? Curve.NONE : Curve.of(found.get(0).value());
  }

  /** Has no step begin from now on. */
  public String halt(String why) throws AgreementException {
    return turn("halted", why, Course.Mode.HALTED, Course.Mode.RUNNING, Course.Mode.BACKING);
  }

  /** Goes on where it was halted. */
  public String resume(String why) throws AgreementException {
    return turn("goes on", why, Course.Mode.RUNNING, Course.Mode.HALTED);
  }

  /** Undoes all steps in the reverse order. */
  public String back(String why) throws AgreementException {
    return turn("goes back", why, Course.Mode.BACKING, Course.Mode.RUNNING, Course.Mode.HALTED);
  }

  /** Leaves all as it is; permits stay with parts that are out. */
  public String abandon(String why) throws AgreementException {
    return turn(
        "abandoned",
        why,
        Course.Mode.ABANDONED,
        Course.Mode.RUNNING,
        Course.Mode.HALTED,
        Course.Mode.BACKING);
  }

  private String turn(String says, String why, Course.Mode to, Course.Mode... from)
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
          if (scene.replaced() && to != Course.Mode.ABANDONED && to != Course.Mode.HALTED) {
            throw new AgreementException(Scene.REPLACED);
          }
          return steps.act(
              scene,
              author,
              "release " + scene.plan().number() + " " + says + ": " + why,
              List.of(),
              List.of(steps.put(new Course(to, why, author))));
        });
  }

  /** What a release is at, in words. */
  public static String words(Course course) {
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
  public long take(Kind kind, String id, String reason, Absence seen) throws AgreementException {
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
                  steps.counted(number), steps.put(new Permit(number, kind, id, author, reason))));
        });
    return holds(look(), kind, id).number();
  }

  /** Gives the place of a part back that is seen back, or that an operator knows to be dead. */
  public String giveBack(Kind kind, String id, String why) throws AgreementException {
    return carryOut(
        scene -> {
          Permit permit = holds(scene, kind, id);
          if (permit == null) {
            throw new AgreementException(id + " holds no place");
          }
          List<Call.Change> changes = new ArrayList<>(List.of(steps.back(permit.number())));
          Step step = scene.steps().get(id);
          if (step != null && step.permit() == permit.number()) {
            // Whoever holds the old number can do nothing with it any more.
            changes.add(steps.put(step.to(Step.Phase.UNDONE, "", why)));
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
  public Call.Swap siteOut(String site, String reason) throws AgreementException {
    Scene scene = look();
    if (scene.fleet().groups().isEmpty()) {
      return new Call.Swap(List.of(), List.of());
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

  private static Permit holds(Scene scene, Kind kind, String id) {
    return scene.permits().values().stream()
        .filter(p -> p.kind() == kind && p.id().equals(id))
        .findFirst()
        .orElse(null);
  }

  /** All that was done, the oldest first. */
  public List<String> history() throws AgreementException {
    return given(new Call.Read(keys.stories())).pairs().stream().map(Answer.Pair::value).toList();
  }
}
