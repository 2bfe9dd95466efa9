package beaconturn.decision;

/** One customer: its quota over all routers, in requests a second; 0 means none is set. */
public record Tenant(double quotaPerSecond, double share) {}
