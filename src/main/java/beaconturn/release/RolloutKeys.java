package beaconturn.release;

/**
 * Keys of a release in the store, under the prefix of a fleet.
 *
 * <pre>
 * release/fleet       instances of the fleet and its disruption budget
 * release/counter     number of the last permit issued
 * release/permit/N    a disruption permit
 * release/plan        plan of the current release, or of the last one
 * release/course      state of the rollout
 * release/step/ID     step of an instance
 * release/settings    configuration version of the release, and the previous content
 * release/driver      incarnation of the driver, bound to its lease
 * release/agent/ID    incarnation of the agent of an instance, bound to its lease
 * release/health/ID   metrics of an instance, reported by its agent
 * release/told        number of lines in the history
 * release-curve/N     time series of release N
 * release-history/N   line N of the history
 * </pre>
 *
 * <p>The time series and the history have prefixes of their own, because each decision reads all
 * keys under {@code release/} and needs neither.
 *
 * @param fleet key prefix of the fleet
 */
public record RolloutKeys(String fleet) {
  private static final String NUMBER_FORMAT = "%09d";

  /** Returns the prefix of all keys that decisions depend on. */
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

  /** Returns the key of the metrics of an instance. */
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
