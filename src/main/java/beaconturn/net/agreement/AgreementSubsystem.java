package beaconturn.net.agreement;

import beaconturn.agreement.AgreementCallbacks;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementMember;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.EffectiveConfig;
import beaconturn.agreement.EndpointView;
import beaconturn.agreement.MemberIdentity;
import beaconturn.agreement.PersistedConfig;
import beaconturn.agreement.StoreRequest;
import beaconturn.core.CacheServerClients;
import beaconturn.core.Clock;
import beaconturn.core.RouterSettings;
import beaconturn.decision.ServerStatus;
import beaconturn.net.FleetConfigSource;
import beaconturn.net.RouterConfig;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs a router's member of the agreement on its own thread. The routing thread never waits for the
 * store; it reads the configuration that applies from a field.
 */
public final class AgreementSubsystem implements FleetConfigSource, AgreementCallbacks {
  private static final Logger LOG = Logger.getLogger(AgreementSubsystem.class.getName());
  private static final long MAX_LEAVE_NANOS = 1_000_000_000;

  /** The startup waits for the store as long as this many requests may take. */
  private static final int STARTUP_REQUESTS = 2;

  private final AgreementConfig config;
  private final RouterSettings configured;
  private final Clock clock;
  private final PersistedConfigFile file;
  private final DueConfigs dueConfigs;
  private final AgreementMember member;

  /** Confined to the routing thread, which reports server statuses. */
  private final EndpointViewBuilder viewBuilder = new EndpointViewBuilder();

  private volatile EndpointView latestView;

  /** Confined to the agreement thread. */
  private long publishViewAtNanos = Long.MIN_VALUE;

  private volatile long listVersion = Long.MIN_VALUE;

  /** Set once, guarded by this. */
  private volatile boolean stopped;

  /** Set once, guarded by this. */
  private volatile boolean askedStore;

  // Guarded by this:
  private boolean left;

  /** Creates the subsystem; it sends no request before {@link #run}. */
  public AgreementSubsystem(AgreementConfig config, RouterConfig router) {
    this.config = config;
    this.configured = router.settings();
    this.clock = Clock.system();
    this.file = new PersistedConfigFile(config.folder(), router.name(), LOG::info);
    this.dueConfigs = new DueConfigs(configured, clock);
    PersistedConfig persisted = file.read();
    long nowNanos = clock.now();
    String incarnation = Long.toHexString(nowNanos) + "-" + ProcessHandle.current().pid();
    this.member =
        new AgreementMember(
            new AgreementKeys(config.fleet()),
            config.timing(),
            new MemberIdentity(router.name(), incarnation, router.sharesListener()),
            SettingsContentMapper.contentOf(configured),
            persisted,
            router.seed() ^ nowNanos,
            nowNanos,
            this,
            LOG::info);
  }

  @Override
  public void run() {
    StoreClient store = new StoreClient(config.endpoints(), config.timing().requestTimeoutNanos());
    try {
      while (!stopped) {
        drive(store);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      LOG.log(
          Level.SEVERE,
          "agreement: the member's thread failed; the router continues without renewing its lease",
          e);
    } finally {
      if (stopped) {
        member.leave().forEach(store::ask);
      }
      store.close();
      markLeft();
    }
  }

  /** Sends one request, or waits until one may be due. */
  private void drive(StoreClient store) throws InterruptedException {
    StoreRequest request = member.nextRequest(clock.now());
    if (request != null) {
      member.handleResponse(clock.now(), store.ask(request));
      if (!askedStore && member.hasAskedStore()) {
        markStoreAsked();
      }
    } else if (!publishView(store)) {
      long atNanos = Math.min(member.nextRequestAtNanos(), nextPublishAtNanos());
      await(atNanos - clock.now());
    }
  }

  /**
   * Publishes the endpoint view if it has changed, at most once per renewal interval. Returns
   * whether a request was sent.
   */
  private boolean publishView(StoreClient store) {
    if (clock.now() < nextPublishAtNanos()) {
      return false;
    }
    EndpointView view = latestView;
    StoreRequest request = member.nextViewRequest(view);
    publishViewAtNanos = clock.now() + config.timing().renewIntervalNanos();
    if (request != null) {
      member.handleViewResponse(view, store.ask(request));
    }
    return request != null;
  }

  private long nextPublishAtNanos() {
    return latestView == null ? Long.MAX_VALUE : publishViewAtNanos;
  }

  @Override
  public void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses) {
    latestView = viewBuilder.view(statuses, clock.now());
  }

  private synchronized void markStoreAsked() {
    askedStore = true;
    notifyAll();
  }

  @Override
  public synchronized void awaitFirstConfig() {
    long endNanos = System.nanoTime() + STARTUP_REQUESTS * config.timing().requestTimeoutNanos();
    try {
      for (long waitNanos = endNanos - System.nanoTime();
          !askedStore && waitNanos > 0;
          waitNanos = endNanos - System.nanoTime()) {
        TimeUnit.NANOSECONDS.timedWait(this, waitNanos);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void markLeft() {
    left = true;
    notifyAll();
  }

  private synchronized void await(long waitNanos) throws InterruptedException {
    if (waitNanos > 0 && !stopped) {
      TimeUnit.NANOSECONDS.timedWait(this, waitNanos);
    }
  }

  @Override
  public void effectiveConfigChanged(EffectiveConfig effective) {
    dueConfigs.update(effective);
  }

  @Override
  public boolean persist(PersistedConfig persisted) {
    return file.write(persisted);
  }

  @Override
  public String objection(ConfigContent content) {
    return SettingsContentMapper.objection(configured, content);
  }

  @Override
  public boolean isReadyFor(ConfigContent content) {
    return listVersion >= content.minListVersion();
  }

  @Override
  public long oldestListVersion() {
    return dueConfigs.minListVersion();
  }

  @Override
  public void listReceived(long version) {
    listVersion = version;
  }

  @Override
  public DueConfig dueConfig() {
    return dueConfigs.due();
  }

  @Override
  public void configApplied(DueConfig config) {
    dueConfigs.applied(config);
  }

  @Override
  public boolean mayWrite() {
    return dueConfigs.mayWrite();
  }

  /**
   * Deletes the member's record, so that the other routers do not wait for its acks. Has no effect
   * if the store is unreachable.
   */
  @Override
  public synchronized void leave() {
    stopped = true;
    notifyAll();
    long endNanos = System.nanoTime() + MAX_LEAVE_NANOS;
    try {
      for (long waitNanos = MAX_LEAVE_NANOS;
          !left && waitNanos > 0;
          waitNanos = endNanos - System.nanoTime()) {
        TimeUnit.NANOSECONDS.timedWait(this, waitNanos);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
