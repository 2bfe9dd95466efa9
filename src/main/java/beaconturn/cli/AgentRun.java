package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
import beaconturn.agreement.Desk;
import beaconturn.agreement.Keys;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.release.Act;
import beaconturn.release.Agent;
import beaconturn.release.Agreed;
import beaconturn.release.Driver;
import beaconturn.release.Plan;
import beaconturn.release.ReleaseKeys;
import beaconturn.release.ReleaseTexts;
import beaconturn.release.Sample;
import beaconturn.release.Scene;
import beaconturn.release.Variant;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The agent of one part, a process beside it: acts on the part's steps, tells what the part answers, and
 * stands by to drive the release, as any of them may. It ends when it is told to; a part that is out
 * stays out.
 */
final class AgentRun {
    private static final int WRONG = 1;
    private static final long MILLI = 1_000_000;
    private static final long ROUND_MILLIS = 200;
    private static final int OFTEN = 10;
    private final String features;
    private final String part;
    private final String apply;
    private final Figures figures;
    private final String me = Long.toHexString(System.currentTimeMillis()) + "-"
        + ProcessHandle.current().pid();
    private ReleaseKeys keys;
    private final UnaryOperator<Desk.Store> through;
    private Desk.Store store;
    private Desk desk;
    private Driver driver;
    private Agent agent;
    private Plan plan;
    private long lease;
    private long renewAt;
    private long healthAt;
    private String told = "";
    private String waits = "";
    private String tried = "";
    private int vain;
    private volatile String ended;

    AgentRun(String features, String part, String apply, String figures) {
        this(features, part, apply, figures, UnaryOperator.identity());
    }

    /** One whose calls to the store go through something else, for tests that plant a defect. */
    AgentRun(String features, String part, String apply, String figures, UnaryOperator<Desk.Store> through) {
        this.through = through;
        this.features = features;
        this.part = part;
        this.apply = apply;
        this.figures = figures.isEmpty() ? null : new Figures(figures);
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
        Answer answer = store.ask(lease == 0 ? new Call.Grant(config.timing().storeLeaseSeconds())
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
     * Only while somebody compares it: otherwise it would be a write for each part and second for
     * nothing.
     */
    private void tellHealth(Scene scene) {
        long now = System.nanoTime();
        if (figures == null || scene.course().over() || now < healthAt) {
            return;
        }
        healthAt = now + TimeUnit.MILLISECONDS.toNanos(2 * ROUND_MILLIS);
        try {
            String text = ReleaseTexts.of(figures.ask());
            if (!text.equals(told)) {
                told = text;
                store.ask(new Call.Swap(List.of(), List.of(
                    new Call.Change.Put(keys.health(part), text, lease))));
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
                act = driver.due(scene, ReleaseSight.gone(scene.plan().kind(), scene.fleet(), desk, view),
                    agreed(scene, view), System.nanoTime());
                sayWaits();
            }
            if (act != null) {
                held(act);
            }
        } catch (AgreementException e) {
            say("does not drive: " + e.getMessage());
        }
    }

    /** Asked only where settings go with the release. */
    private Agreed agreed(Scene scene, Desk.View view) throws AgreementException {
        if (scene.plan().settings() == null) {
            return null;
        }
        return new Agreed(view.seen(), desk.nextNumber(), view.waiting(), System.currentTimeMillis());
    }

    /** Whom the release waits for, each time that it is somebody else; figures that only grow are no news. */
    private void sayWaits() {
        String words = driver.waits().replaceAll("[0-9.]+ of [0-9]+ answers bad.*| of [0-9]+ at .*", "");
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

    /** The figures of a router, asked at its second address. */
    private static final class Figures {
        private static final int PATIENCE_MILLIS = 1000;
        private final String address;

        private long last;
        private int process;

        Figures(String address) {
            this.address = address;
        }

        Sample ask() throws IOException {
            int colon = address.lastIndexOf(':');
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1))), PATIENCE_MILLIS);
                socket.setSoTimeout(PATIENCE_MILLIS);
                socket.getOutputStream().write("show-stat\n".getBytes(StandardCharsets.US_ASCII));
                return sample(new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.US_ASCII)));
            }
        }

        /** Counters run from the start of the process: those that fall tell of another one. */
        private Sample sample(BufferedReader lines) throws IOException {
            long good = 0;
            long bad = 0;
            for (String line = lines.readLine(); line != null
                && !line.equals("--"); line = lines.readLine()) {
                String[] parts = line.split("[:|]");
                if (parts.length == 3 && parts[0].contains(".answered.")) {
                    good += Long.parseLong(parts[1]);
                } else if (parts.length == 3 && parts[0].matches(".*\\.(deferred|errored)\\..*")) {
                    bad += Long.parseLong(parts[1]);
                }
            }
            process += good + bad < last ? 1 : 0;
            last = good + bad;
            return new Sample(Integer.toString(process), good, bad);
        }
    }
}
