package beaconturn.zones;

/** The allocations of a router until its lease on the plan ends, and after that. */
record LeasedAllocation(
    long leaseEndNanos, EffectiveAllocation whileLeased, EffectiveAllocation afterLease) {
  EffectiveAllocation at(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeased : afterLease;
  }
}
