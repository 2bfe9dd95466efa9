package beaconturn.net.agreement;

import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementMember;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.EffectiveConfig;
import beaconturn.agreement.EndpointView;
import beaconturn.agreement.LastingEjections;
import beaconturn.agreement.PersistedConfig;
import beaconturn.agreement.StoreRequest;
import beaconturn.core.CacheServerClients;
import beaconturn.core.Clock;
import beaconturn.core.RouterSettings;
import beaconturn.decision.ServerStatus;
import beaconturn.net.FleetConfigSource;
import beaconturn.net.RouterConfig;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A router's part in the agreement, on a thread of its own: the module's thread never waits for the
 * store, it reads what is due from a field.
 */
public final class AgreementSubsystem implements FleetConfigSource, AgreementMember.Router {
  private static final Logger LOG = Logger.getLogger(AgreementSubsystem.class.getName());
  private static final long LONGEST_LEAVE = 1_000_000_000;

  /** A start waits for the store as long as so many calls may take. */
  private static final int FIRST_CALLS = 2;

  private final AgreementConfig config;
  private final RouterSettings configured;
  private final Clock clock;
  private final PersistedConfigFile file;
  private final AgreementMember member;
  private volatile Forces forces;
  private volatile Force applied;
  private volatile boolean stopped;
  private volatile EndpointView sight;

  /** Of the thread that tells what it sees. */
  private final LastingEjections ejections = new LastingEjections();

  private volatile long list = Long.MIN_VALUE;
  private long sightDue = Long.MIN_VALUE;

  /** Set once, guarded by this. */
  private volatile boolean asked;

  // Guarded by this:
  private boolean left;

  /** What is due until a time and from then on. */
  private record Forces(long until, Force held, Force after) {}

  /** A part that asks nobody before it is run. */
  public AgreementSubsystem(AgreementConfig config, RouterConfig router) {
    this.config = config;
    this.configured = router.settings();
    this.clock = Clock.system();
    this.file = new PersistedConfigFile(config.folder(), router.name(), LOG::info);
    PersistedConfig kept = file.read();
    long now = clock.now();
    String incarnation = Long.toHexString(now) + "-" + ProcessHandle.current().pid();
    this.member =
        new AgreementMember(
            new AgreementKeys(config.fleet()),
            config.timing(),
            router.name(),
            incarnation,
            router.shared(),
            SettingsContentMapper.of(configured),
            kept,
            router.seed() ^ now,
            now,
            this,
            LOG::info);
  }

  @Override
  public void run() {
    StoreClient store = new StoreClient(config.endpoints(), config.timing().callTimeout());
    try {
      while (!stopped) {
        StoreRequest call = member.next(clock.now());
        if (call != null) {
          member.answered(clock.now(), store.ask(call));
          if (!asked && member.hasAsked()) {
            hasAsked();
          }
        } else if (!tellSight(store)) {
          await(Math.min(member.wakeAt(), sightAt()) - clock.now());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, "the agreement ended: the router goes on to safe ground", e);
    } finally {
      if (stopped) {
        member.leave().forEach(store::ask);
      }
      store.close();
      hasLeft();
    }
  }

  /**
   * Tells what is seen once it has changed, no more often than a lease is renewed; whether it
   * called.
   */
  private boolean tellSight(StoreClient store) {
    if (clock.now() < sightAt()) {
      return false;
    }
    EndpointView seen = sight;
    StoreRequest call = member.tells(seen);
    sightDue = clock.now() + config.timing().renewEvery();
    if (call != null) {
      member.told(seen, store.ask(call));
    }
    return call != null;
  }

  private long sightAt() {
    return sight == null ? Long.MAX_VALUE : sightDue;
  }

  @Override
  public void sees(Map<CacheServerClients.ListedServer, ServerStatus> caches) {
    SortedMap<String, Long> in = new TreeMap<>();
    SortedMap<String, String> out = new TreeMap<>();
    ejections.only(
        caches.entrySet().stream()
            .filter(e -> e.getValue() == ServerStatus.EJECTED)
            .map(e -> e.getKey().name())
            .toList());
    caches.forEach(
        (listed, standing) -> {
          boolean passing =
              standing == ServerStatus.EJECTED && !ejections.lasts(listed.name(), clock.now());
          if (standing == ServerStatus.ACTIVE || passing) {
            in.put(listed.name(), listed.bootTimeNanos());
          } else {
            out.put(listed.name(), storedWord(standing));
          }
        });
    sight = new EndpointView(in, out);
  }

  /** The word under which the coordination store keeps a status; other builds read it. */
  private static String storedWord(ServerStatus status) {
    return switch (status) {
      case ACTIVE -> "in";
      case WARMING -> "warming";
      case DRAINING -> "draining";
      case GONE -> "gone";
      case EXCLUDED -> "left out";
      case EJECTED -> "ejected";
    };
  }

  private synchronized void hasAsked() {
    asked = true;
    notifyAll();
  }

  @Override
  public synchronized void awaitFirst() {
    long until = System.nanoTime() + FIRST_CALLS * config.timing().callTimeout();
    try {
      for (long wait = until - System.nanoTime();
          !asked && wait > 0;
          wait = until - System.nanoTime()) {
        TimeUnit.NANOSECONDS.timedWait(this, wait);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void hasLeft() {
    left = true;
    notifyAll();
  }

  private synchronized void await(long nanos) throws InterruptedException {
    if (nanos > 0 && !stopped) {
      TimeUnit.NANOSECONDS.timedWait(this, nanos);
    }
  }

  @Override
  public void ground(EffectiveConfig ground) {
    Forces before = forces;
    Force held = force(ground.held(), ground.heldAs(), before);
    Force after = force(ground.after(), ground.afterAs(), before);
    forces = new Forces(ground.until(), held, after);
  }

  /** The same object where nothing has changed, so that the router need not compare more. */
  private Force force(ConfigContent content, String says, Forces before) {
    if (before != null && before.held().means(content, says)) {
      return before.held();
    }
    if (before != null && before.after().means(content, says)) {
      return before.after();
    }
    return new Force(
        SettingsContentMapper.under(configured, content),
        content.out(),
        content.oldestList(),
        content,
        says);
  }

  @Override
  public boolean keep(PersistedConfig kept) {
    return file.write(kept);
  }

  @Override
  public String objection(ConfigContent content) {
    return SettingsContentMapper.objection(configured, content);
  }

  @Override
  public boolean ready(ConfigContent content) {
    return list >= content.oldestList();
  }

  @Override
  public long oldestList() {
    Forces now = forces;
    return Math.max(now.held().oldestList(), now.after().oldestList());
  }

  @Override
  public void hasList(long version) {
    list = version;
  }

  @Override
  public Force due() {
    Forces now = forces;
    return clock.now() < now.until() ? now.held() : now.after();
  }

  @Override
  public void applied(Force force) {
    applied = force;
  }

  @Override
  @SuppressWarnings("ReferenceEquality") // A shortcut before the comparison.
  public boolean mayWrite() {
    Forces now = forces;
    Force in = applied;
    return clock.now() < now.until()
        || in == now.after()
        || (in != null && in.content().equals(now.after().content()));
  }

  /**
   * Takes the router off the roster, so that nobody waits for it; in vain if the store is out of
   * reach.
   */
  @Override
  public synchronized void leave() {
    stopped = true;
    notifyAll();
    long until = System.nanoTime() + LONGEST_LEAVE;
    try {
      for (long wait = LONGEST_LEAVE; !left && wait > 0; wait = until - System.nanoTime()) {
        TimeUnit.NANOSECONDS.timedWait(this, wait);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
