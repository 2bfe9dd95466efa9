package beaconturn.net.agreement;

import beaconturn.net.FleetConfigSource.DueConfig;

/** The configuration that applies until a lease expires, and the one that applies from then on. */
record LeasedConfig(long leaseEndNanos, DueConfig whileLeased, DueConfig afterLease) {
  DueConfig at(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeased : afterLease;
  }
}
