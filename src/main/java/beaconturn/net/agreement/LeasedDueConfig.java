package beaconturn.net.agreement;

import beaconturn.net.FleetConfigSource.DueConfig;

/** What is to be in force until a lease ends, and from then on. */
record LeasedDueConfig(long leaseEndNanos, DueConfig whileLeased, DueConfig afterLease) {
  DueConfig at(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeased : afterLease;
  }
}
