package beaconturn.decision;

/** Events a nanosecond, over about the given time. */
final class Rate {
    final double memory;
    double count;
    long at;

    Rate(double memory) {
        this.memory = memory;
    }

    void count(long now) {
        count = count * Math.exp((at - now) / memory) + 1;
        at = now;
    }

    double perNano(long now) {
        return count * Math.exp((at - now) / memory) / memory;
    }
}
