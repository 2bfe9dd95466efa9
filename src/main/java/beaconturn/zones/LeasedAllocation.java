package beaconturn.zones;

/** The allocations that a router sends by until a lease ends, and from then on. */
record LeasedAllocation(long leaseEndNanos, EffectiveAllocation whileLeased, EffectiveAllocation afterLease) {
  EffectiveAllocation at(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeased : afterLease;
  }
}
