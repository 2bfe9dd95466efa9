package beaconturn.decision;

/**
 * Quota and traffic share of one tenant.
 *
 * @param quotaPerSecond requests per second over all routers; 0 for no quota
 * @param share expected fraction of all requests, 0 to 1
 */
public record Tenant(double quotaPerSecond, double share) {}
