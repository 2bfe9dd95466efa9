package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
import beaconturn.agreement.Desk;
import beaconturn.agreement.Keys;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.release.Absence;
import beaconturn.release.Act;
import beaconturn.release.Agent;
import beaconturn.release.Agreed;
import beaconturn.release.Driver;
import beaconturn.release.Fleet;
import beaconturn.release.Kind;
import beaconturn.release.Plan;
import beaconturn.release.Recorder;
import beaconturn.release.ReleaseDesk;
import beaconturn.release.ReleaseKeys;
import beaconturn.release.ReleaseTexts;
import beaconturn.release.Scene;
import beaconturn.release.Variant;
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
final class AgentRun {
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
  private final PartFigures figures;
  private final String me =
      Long.toHexString(System.currentTimeMillis()) + "-" + ProcessHandle.current().pid();
  private ReleaseKeys keys;
  private final UnaryOperator<Desk.Store> through;
  private Desk.Store store;
  private Desk desk;
  private Driver driver;
  private Agent agent;
  private Recorder recorder;
  private Plan plan;
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
  AgentRun(String features, String part, String apply, PartFigures figures) {
    this(features, part, apply, figures, UnaryOperator.identity());
  }

  /** One whose calls to the store go through something else, for tests that plant a defect. */
  AgentRun(
      String features,
      String part,
      String apply,
      PartFigures figures,
      UnaryOperator<Desk.Store> through) {
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
      keys = new ReleaseKeys(config.fleet());
      store = through.apply(new StoreClient(config.endpoints(), config.timing().callTimeout()));
      desk = new Desk(new Keys(config.fleet()), store);
      driver = new Driver(keys, me, AgentRun::now);
      agent = new Agent(keys, part, me, config.timing().callTimeout(), AgentRun::now);
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
    Scene scene = read();
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
    Answer answer =
        store.ask(
            lease == 0
                ? new Call.Grant(config.timing().storeLeaseSeconds())
                : new Call.KeepAlive(lease));
    if (answer instanceof Answer.Given given) {
      lease = lease == 0 ? given.lease() : given.seconds() > 0 ? lease : 0;
      renewAt = now + config.timing().renewEvery();
    }
  }

  private Scene read() {
    if (!(store.ask(new Call.Read(keys.all())) instanceof Answer.Given given)) {
      return null;
    }
    try {
      return Scene.of(keys, given);
    } catch (AgreementException e) {
      say(e.getMessage());
      return null;
    }
  }

  /**
   * Often only while somebody compares it. Where plans are held to what the fleet carries it is
   * told between releases too, so seldom that the whole fleet makes a bounded number of writes.
   */
  private void tellHealth(Scene scene) {
    long now = System.nanoTime();
    Fleet.Group routers = scene.fleet().group(Kind.ROUTER);
    boolean over = scene.course().over();
    if (figures == null || now < healthAt || over && routers.capacity().spare() < 0) {
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
      String text = ReleaseTexts.of(figures.ask());
      if (toTell && !text.equals(told)) {
        told = text;
        store.ask(
            new Call.Swap(List.of(), List.of(new Call.Change.Put(keys.health(part), text, lease))));
      }
    } catch (IOException e) {
      // It is on its way down or up: what it had told stands until then.
      told = "";
    }
  }

  private void act(Scene scene) {
    Act seat = lease == 0 ? null : agent.take(scene, lease);
    if (seat != null) {
      held(seat);
      return;
    }
    Act act = agent.due(scene, System.nanoTime());
    if (act != null) {
      begin(agent.answered(held(act), System.nanoTime()));
    }
  }

  private boolean held(Act act) {
    boolean held = store.ask(act.swap()) instanceof Answer.Given given && given.held();
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

  private void drive(Scene scene) {
    try {
      Act act = lease == 0 ? null : driver.take(scene, lease);
      if (act == null && scene.driver().equals(me) && scene.plan() != null) {
        Desk.View view = desk.view();
        Absence seen =
            ReleaseSight.gone(
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
  private void record(Scene scene, Absence seen) throws AgreementException {
    long release = scene.plan().number();
    if (scene.course().over()) {
      return;
    }
    if (recorder == null || recorder.release() != release) {
      recorder =
          new Recorder(
              keys, release, new ReleaseDesk(keys, store, me, AgentRun::now).curve(release));
    }
    Act point = recorder.due(scene, seen, System.currentTimeMillis());
    if (point != null) {
      store.ask(point.swap());
    }
  }

  /** Asked only where settings go with the release. */
  private Agreed agreed(Scene scene, Desk.View view) throws AgreementException {
    if (scene.plan().settings() == null) {
      return null;
    }
    return new Agreed(view.seen(), desk.nextNumber(), view.waiting(), System.currentTimeMillis());
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

  private void begin(Variant variant) {
    if (variant == null) {
      return;
    }
    say(part + " goes to " + variant.word());
    long limit = plan == null ? 0 : plan.limit();
    new Thread(() -> ended = carryOut(variant, limit), "action").start();
  }

  /** Empty once the part is ready, else what went wrong. */
  private String carryOut(Variant variant, long limit) {
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
