package beaconturn.release;

/**
 * Keys of a release in the store, below the prefix of a fleet.
 *
 * <pre>
 * release/fleet       instances of the fleet and its disruption budget
 * release/counter     number of the last permit
 * release/permit/N    a disruption permit
 * release/plan        plan of the current release, or of the last one
 * release/course      state of the rollout
 * release/step/ID     step of an instance
 * release/settings    configuration version that goes with the release, and the content before it
 * release/driver      incarnation of the driver, on a lease
 * release/agent/ID    incarnation of the agent of an instance, on a lease
 * release/health/ID   metrics of an instance, reported by its agent
 * release/told        number of lines in the history
 * release-curve/N     time series of release N
 * release-history/N   line N of the history
 * </pre>
 *
 * <p>Time series and history have prefixes of their own: whoever takes a step reads all of {@code
 * release/} and needs neither.
 *
 * @param fleet prefix of the fleet
 */
public record RolloutKeys(String fleet) {
  private static final String NUMBER_FORMAT = "%09d";

  /** Prefix of all that steps are decided on. */
  public String prefix() {
    return fleet + "/release/";
  }

  String fleetDefinition() {
    return prefix() + "fleet";
  }

  String permitCounter() {
    return prefix() + "counter";
  }

  String permits() {
    return prefix() + "permit/";
  }

  String permit(long number) {
    return permits() + String.format(NUMBER_FORMAT, number);
  }

  String plan() {
    return prefix() + "plan";
  }

  String state() {
    return prefix() + "course";
  }

  String configChange() {
    return prefix() + "settings";
  }

  String steps() {
    return prefix() + "step/";
  }

  String step(String instanceId) {
    return steps() + instanceId;
  }

  String driver() {
    return prefix() + "driver";
  }

  String agents() {
    return prefix() + "agent/";
  }

  String agent(String instanceId) {
    return agents() + instanceId;
  }

  String samples() {
    return prefix() + "health/";
  }

  /** Key of the metrics of an instance. */
  public String sample(String instanceId) {
    return samples() + instanceId;
  }

  String historyLength() {
    return prefix() + "told";
  }

  String history() {
    return fleet + "/release-history/";
  }

  String historyLine(long number) {
    return history() + String.format(NUMBER_FORMAT, number);
  }

  String timeSeries(long releaseNumber) {
    return fleet + "/release-curve/" + String.format(NUMBER_FORMAT, releaseNumber);
  }
}
