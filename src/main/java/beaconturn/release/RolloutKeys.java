package beaconturn.release;

/**
 * Where a release stands in the store, below a fleet's prefix.
 *
 * <pre>
 * release/fleet       who belongs to it and how much may be out
 * release/counter     the number of the last permit
 * release/permit/N    a place that is taken
 * release/plan        the release at hand, or the last one
 * release/course      whether it runs, is halted, goes back
 * release/step/ID     where a part stands
 * release/settings    the version of settings that goes with it, and what was in force before
 * release/driver      who drives it, on a lease
 * release/agent/ID    who acts on a part, on a lease
 * release/health/ID   what a part has answered so far, by its agent
 * release/told        how many lines the history has
 * release-curve/N     answers during release N, and who was out; apart for the same reason
 * release-history/N   what was done, by whom and why; apart, as nobody who acts needs it
 * </pre>
 */
public record RolloutKeys(String fleet) {
  /** All of it. */
  public String all() {
    return fleet + "/release/";
  }

  String parts() {
    return all() + "fleet";
  }

  String counter() {
    return all() + "counter";
  }

  String permits() {
    return all() + "permit/";
  }

  String permit(long number) {
    return permits() + String.format("%09d", number);
  }

  String plan() {
    return all() + "plan";
  }

  String course() {
    return all() + "course";
  }

  String settings() {
    return all() + "settings";
  }

  String steps() {
    return all() + "step/";
  }

  String step(String id) {
    return steps() + id;
  }

  String driver() {
    return all() + "driver";
  }

  String agents() {
    return all() + "agent/";
  }

  String agent(String id) {
    return agents() + id;
  }

  String healths() {
    return all() + "health/";
  }

  /** Where an agent tells what its part has answered. */
  public String health(String id) {
    return healths() + id;
  }

  String told() {
    return all() + "told";
  }

  String stories() {
    return fleet + "/release-history/";
  }

  /** The curve of a release. */
  String curve(long number) {
    return fleet + "/release-curve/" + String.format("%09d", number);
  }

  String story(long number) {
    return stories() + String.format("%09d", number);
  }
}
