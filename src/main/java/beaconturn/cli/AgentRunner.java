package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementStatus;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.release.AgreedVersions;
import beaconturn.release.InstanceKind;
import beaconturn.release.InstanceVariant;
import beaconturn.release.ReleaseFleet;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutAgent;
import beaconturn.release.RolloutCodec;
import beaconturn.release.RolloutDriver;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutPlan;
import beaconturn.release.RolloutRecorder;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutTransaction;
import beaconturn.release.Unavailability;
import beaconturn.zones.ZonesKeys;
import java.io.IOException;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The agent of one part, a process beside it: acts on the part's steps, tells what the part
 * answers, and stands by to drive the release, as any of them may. It ends when it is told to; a
 * part that is out stays out.
 */
final class AgentRunner {
  private static final int WRONG = 1;
  private static final long MILLI = 1_000_000;
  private static final long ROUND_MILLIS = 200;
  private static final int OFTEN = 10;

  /** Means need readings, and the store need not hear each. */
  private static final int READINGS_A_WORD = 2;

  /**
   * Between releases figures are told so often, and the whole fleet makes twenty writes a second.
   */
  private static final long QUIET_MILLIS = 5000;

  private static final long QUIET_MILLIS_EACH = 50;
  private final String features;
  private final String part;
  private final String apply;
  private final InstanceMetricsReader figures;
  private final String me =
      Long.toHexString(System.currentTimeMillis()) + "-" + ProcessHandle.current().pid();
  private RolloutKeys keys;
  private final UnaryOperator<CoordinationStore> through;
  private CoordinationStore store;
  private ConfigAdmin desk;
  private RolloutDriver driver;
  private RolloutAgent agent;
  private RolloutRecorder recorder;
  private RolloutPlan plan;
  private long lease;
  private long renewAt;
  private long healthAt;
  private int readings;
  private String told = "";
  private String waits = "";
  private String tried = "";
  private int vain;
  private volatile String ended;

  /** An agent that has no figures if that is null. */
  AgentRunner(String features, String part, String apply, InstanceMetricsReader figures) {
    this(features, part, apply, figures, UnaryOperator.identity());
  }

  /** One whose calls to the store go through something else, for tests that plant a defect. */
  AgentRunner(
      String features,
      String part,
      String apply,
      InstanceMetricsReader figures,
      UnaryOperator<CoordinationStore> through) {
    this.through = through;
    this.features = features;
    this.part = part;
    this.apply = apply;
    this.figures = figures;
  }

  int run() {
    Logs.start();
    try {
      AgreementConfig config = FeaturesFile.required(features);
      keys = new RolloutKeys(config.fleet());
      store =
          through.apply(new StoreClient(config.endpoints(), config.timing().requestTimeoutNanos()));
      desk = new ConfigAdmin(new AgreementKeys(config.fleet()), store);
      driver = new RolloutDriver(keys, me, AgentRunner::now);
      agent =
          new RolloutAgent(keys, part, me, config.timing().requestTimeoutNanos(), AgentRunner::now);
      say("agent of " + part + " as " + me);
      while (true) {
        round(config);
        Thread.sleep(ROUND_MILLIS);
      }
    } catch (ConfigException e) {
      System.err.println("release agent: " + e.getMessage());
      return WRONG;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return WRONG;
    }
  }

  /** For the history: by this machine's wall clock, which nothing else rests on. */
  static String now() {
    return Instant.now().truncatedTo(ChronoUnit.MILLIS).toString();
  }

  private static void say(String what) {
    System.err.println(System.currentTimeMillis() + " " + what);
  }

  private void round(AgreementConfig config) {
    if (ended != null) {
      String how = ended;
      ended = null;
      agent.ended(how.isEmpty(), how, System.nanoTime());
      say(part + (how.isEmpty() ? " is ready" : " is not ready: " + how));
    }
    keepLease(config);
    RolloutSnapshot scene = read();
    if (scene == null) {
      begin(agent.alone(plan, System.nanoTime()));
      return;
    }
    plan = scene.plan();
    tellHealth(scene);
    act(scene);
    drive(scene);
  }

  private void keepLease(AgreementConfig config) {
    long now = System.nanoTime();
    if (lease != 0 && now < renewAt) {
      return;
    }
    StoreResponse answer =
        store.ask(
            lease == 0
                ? new StoreRequest.Grant(config.timing().storeLeaseSeconds())
                : new StoreRequest.KeepAlive(lease));
    if (answer instanceof StoreResponse.Success given) {
      lease = lease == 0 ? given.leaseId() : given.leaseTtlSeconds() > 0 ? lease : 0;
      renewAt = now + config.timing().renewIntervalNanos();
    }
  }

  private RolloutSnapshot read() {
    if (!(store.ask(new StoreRequest.Read(keys.all())) instanceof StoreResponse.Success given)) {
      return null;
    }
    try {
      return RolloutSnapshot.of(keys, given);
    } catch (AgreementException e) {
      say(e.getMessage());
      return null;
    }
  }

  /**
   * Often only while somebody compares it. Where plans are held to what the fleet carries it is
   * told between releases too, so seldom that the whole fleet makes a bounded number of writes.
   */
  private void tellHealth(RolloutSnapshot scene) {
    long now = System.nanoTime();
    ReleaseFleet.Group routers = scene.fleet().group(InstanceKind.ROUTER);
    boolean over = scene.course().over();
    if (figures == null || now < healthAt || (over && routers.capacity().spare() < 0)) {
      return;
    }
    healthAt =
        now
            + TimeUnit.MILLISECONDS.toNanos(
                !over
                    ? ROUND_MILLIS / 2
                    : Math.max(QUIET_MILLIS, routers.all().size() * QUIET_MILLIS_EACH));
    boolean toTell = over || ++readings % READINGS_A_WORD == 0;
    try {
      String text = RolloutCodec.of(figures.ask());
      if (toTell && !text.equals(told)) {
        told = text;
        store.ask(
            new StoreRequest.Transaction(
                List.of(), List.of(new StoreRequest.Change.Put(keys.health(part), text, lease))));
      }
    } catch (IOException e) {
      // It is on its way down or up: what it had told stands until then.
      told = "";
    }
  }

  private void act(RolloutSnapshot scene) {
    RolloutTransaction seat = lease == 0 ? null : agent.take(scene, lease);
    if (seat != null) {
      held(seat);
      return;
    }
    RolloutTransaction act = agent.due(scene, System.nanoTime());
    if (act != null) {
      begin(agent.answered(held(act), System.nanoTime()));
    }
  }

  private boolean held(RolloutTransaction act) {
    boolean held =
        store.ask(act.swap()) instanceof StoreResponse.Success given && given.conditionsHeld();
    vain = held || !act.says().equals(tried) ? 0 : vain + 1;
    tried = act.says();
    if (held) {
      say(act.says());
    } else if (vain == OFTEN) {
      // Others may be faster once; a step that never holds is a fault somewhere.
      say("does not hold again and again: " + act.says());
    }
    return held;
  }

  private void drive(RolloutSnapshot scene) {
    try {
      RolloutTransaction act = lease == 0 ? null : driver.take(scene, lease);
      if (act == null && scene.driver().equals(me) && scene.plan() != null) {
        AgreementStatus view = desk.status();
        Unavailability seen =
            ObservedUnavailability.gone(
                scene.plan().kind(), scene.fleet(), desk, view, new ZonesKeys(keys.fleet()), store);
        record(scene, seen);
        act = driver.due(scene, seen, agreed(scene, view), System.nanoTime());
        sayWaits();
      }
      if (act != null) {
        held(act);
      }
    } catch (AgreementException e) {
      say("does not drive: " + e.getMessage());
    }
  }

  /** A point of the curve, if one is due; nothing that is decided rests on it. */
  private void record(RolloutSnapshot scene, Unavailability seen) throws AgreementException {
    long release = scene.plan().number();
    if (scene.course().over()) {
      return;
    }
    if (recorder == null || recorder.release() != release) {
      recorder =
          new RolloutRecorder(
              keys, release, new RolloutAdmin(keys, store, me, AgentRunner::now).curve(release));
    }
    RolloutTransaction point = recorder.due(scene, seen, System.currentTimeMillis());
    if (point != null) {
      store.ask(point.swap());
    }
  }

  /** Asked only where settings go with the release. */
  private AgreedVersions agreed(RolloutSnapshot scene, AgreementStatus view)
      throws AgreementException {
    if (scene.plan().settings() == null) {
      return null;
    }
    return new AgreedVersions(
        view.snapshot(),
        desk.nextVersionNumber(),
        view.awaitedMembers(),
        System.currentTimeMillis());
  }

  /**
   * Whom the release waits for, each time that it is somebody else; figures that only grow are no
   * news.
   */
  private void sayWaits() {
    String words =
        driver.waits().replaceAll("[0-9.]+ of [0-9]+ answers bad.*| of [0-9]+ at .*", "");
    if (!words.equals(waits) && !words.isEmpty()) {
      say("waits: " + driver.waits());
    }
    waits = words;
  }

  private void begin(InstanceVariant variant) {
    if (variant == null) {
      return;
    }
    say(part + " goes to " + variant.word());
    long limit = plan == null ? 0 : plan.limit();
    new Thread(() -> ended = carryOut(variant, limit), "action").start();
  }

  /** Empty once the part is ready, else what went wrong. */
  private String carryOut(InstanceVariant variant, long limit) {
    try {
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", apply).inheritIO();
      builder.environment().put("PART", part);
      builder.environment().put("VARIANT", variant.word());
      Process process = builder.start();
      if (!process.waitFor(limit / MILLI, TimeUnit.MILLISECONDS)) {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
        return "not ready within " + limit / MILLI + " ms";
      }
      return process.exitValue() == 0 ? "" : "the command ended with status " + process.exitValue();
    } catch (IOException e) {
      return String.valueOf(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "interrupted";
    }
  }
}
