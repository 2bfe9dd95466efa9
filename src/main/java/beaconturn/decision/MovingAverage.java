package beaconturn.decision;

/** Mean and mean deviation, newest samples counting most. */
final class MovingAverage {
  double mean;
  double deviation;
  boolean any;
  private final double newest;

  /** {@code newest} is the weight of the newest sample. */
  MovingAverage(double newest) {
    this.newest = newest;
  }

  /** Begins with a mean that was found elsewhere; 0 is none. */
  void begin(double found) {
    if (!any && found > 0) {
      add(found);
    }
  }

  /** Adds a sample and returns the new mean. */
  double add(double sample) {
    mean = any ? mean + newest * (sample - mean) : sample;
    deviation = any ? deviation + newest * (Math.abs(sample - mean) - deviation) : sample / 2;
    any = true;
    return mean;
  }
}
