package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Decides which requests exceed their tenant's quota. */
final class QuotaTracker {
  /**
   * Factor by which a tenant's share of the traffic may exceed its configured share before its
   * requests count as over quota.
   */
  private static final double SHARE_SLACK = 1.5;

  private static final double NANOS_PER_SECOND = 1e9;

  private final RoutingSettings settings;
  private final EventClock clock;
  private final SplittableRandom random;
  private final EventRate allArrivals;
  private final List<TenantUsage> usages = new ArrayList<>();

  /** Quota tokens and arrival rate of one tenant. */
  private static final class TenantUsage {
    private final TokenBucket quota = new TokenBucket();
    private final EventRate arrivals;

    TenantUsage(double windowNanos) {
      this.arrivals = new EventRate(windowNanos);
    }
  }

  QuotaTracker(RoutingSettings settings, EventClock clock, SplittableRandom random) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    double windowNanos = SlowStart.rateWindowNanos(settings.safetyLimits());
    this.allArrivals = new EventRate(windowNanos);
    settings.tenants().forEach(tenant -> usages.add(new TenantUsage(windowNanos)));
  }

  /**
   * Counts a request; returns whether the request exceeds its tenant's quota, which means that the
   * tenant exceeds both this router's even part of the quota and the tenant's configured share of
   * this router's traffic, since routers in busy zones receive more. Draws from the random source
   * at a tenant's first request.
   */
  boolean isBeyondQuota(int tenantIndex) {
    if (tenantIndex >= usages.size() || settings.tenants().get(tenantIndex).quotaPerSecond() <= 0) {
      return false;
    }
    Tenant tenant = settings.tenants().get(tenantIndex);
    TenantUsage usage = usages.get(tenantIndex);
    long nowNanos = clock.nowNanos();
    allArrivals.count(nowNanos);
    usage.arrivals.count(nowNanos);
    double perSecond = tenant.quotaPerSecond() / settings.routerCount();
    usage.quota.refill(nowNanos, perSecond / NANOS_PER_SECOND, Math.max(1, perSecond), random);
    if (usage.quota.hasToken()) {
      usage.quota.take();
      return false;
    }
    double sharePerNano = tenant.share() * allArrivals.perNano(nowNanos);
    return usage.arrivals.perNano(nowNanos) > SHARE_SLACK * sharePerNano;
  }
}
