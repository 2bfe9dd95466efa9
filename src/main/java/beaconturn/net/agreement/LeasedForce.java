package beaconturn.net.agreement;

import beaconturn.net.FleetConfigSource.Force;

/** What is to be in force until a lease ends, and from then on. */
record LeasedForce(long leaseEndNanos, Force whileLeased, Force afterLease) {
  Force at(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeased : afterLease;
  }
}
