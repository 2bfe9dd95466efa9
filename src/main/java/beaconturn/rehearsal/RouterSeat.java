package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.ledger.Account;
import beaconturn.ledger.Entry;
import beaconturn.standin.net.Surroundings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** One router of a play: its address, its files, and the process that stands there at the moment. */
final class RouterSeat {
    private static final int READY_MILLIS = 30_000;
    private static final int KILL_MILLIS = 2000;
    private static final int STEP_MILLIS = 10;
    private static final int TRY_MILLIS = 500;
    private static final int FIRST_PORT = 15_000;
    private static final int PORTS = 15_000;
    private static final String PONG = "+PONG";
    private final Scenario scenario;
    private final int number;
    private final Surroundings surroundings;
    private final RouterLauncher launcher;
    private final Clock clock;
    private final Account account;
    private final Path folder;
    private final InetSocketAddress address;
    private RouterLauncher.Running running;
    private boolean told;
    private long cpu;
    private int starts;

    RouterSeat(Scenario scenario, int number, Surroundings surroundings, RouterLauncher launcher, Clock clock,
            Account account, Path folder) throws IOException {
        this.scenario = scenario;
        this.number = number;
        this.surroundings = surroundings;
        this.launcher = launcher;
        this.clock = clock;
        this.account = account;
        this.folder = folder;
        this.address = freeAddress();
    }

    /** A port below those that the kernel gives out by itself, so that nobody takes it between two starts. */
    private static InetSocketAddress freeAddress() throws IOException {
        int offset = (int) (System.nanoTime() % PORTS);
        for (int i = 0; i < PORTS; i++) {
            InetSocketAddress tried =
                new InetSocketAddress("127.0.0.1", FIRST_PORT + Math.abs(offset + i) % PORTS);
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(tried);
                return tried;
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }

    InetSocketAddress address() {
        return address;
    }

    String name() {
        return scenario.routers().get(number).name();
    }

    /** Starts a process; it is not ready yet. */
    void launch() throws IOException {
        InetSocketAddress discovery = surroundings.discovery(number);
        String text = new RouterConfigText(scenario).of(number, text(address), text(discovery),
            surroundings.known(number), scenario.seed() * 1000 + number * 100 + ++starts);
        Path config = folder.resolve(name() + ".json");
        Files.writeString(config, text);
        told = false;
        running = launcher.launch(name(), config, folder.resolve(name() + ".log"));
    }

    private static String text(InetSocketAddress at) {
        return at.getHostString() + ":" + at.getPort();
    }

    /** Waits until it answers PING; fails with its last log line if it ends or takes too long. */
    void awaitReady() throws IOException, InterruptedException {
        for (long waited = 0; waited < READY_MILLIS; waited += STEP_MILLIS) {
            if (!running.alive()) {
                break;
            }
            if (answersPing()) {
                return;
            }
            Thread.sleep(STEP_MILLIS);
        }
        throw new IOException("router " + name() + " did not get ready: " + lastLine());
    }

    private boolean answersPing() {
        try (Socket socket = new Socket()) {
            socket.connect(address, TRY_MILLIS);
            socket.setSoTimeout(TRY_MILLIS);
            socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(PONG.length());
            return new String(answer, StandardCharsets.US_ASCII).equals(PONG);
        } catch (IOException e) {
            return false;
        }
    }

    private String lastLine() throws IOException {
        Path log = folder.resolve(name() + ".log");
        if (!Files.exists(log)) {
            return "no log";
        }
        String[] lines = Files.readString(log).trim().split("\n");
        return lines[lines.length - 1];
    }

    /**
     * Ends the process and waits until it is gone: up to then it may take requests, which are its clients'.
     */
    void kill() {
        told = true;
        long at = clock.now();
        running.kill();
        try {
            running.awaitEnd(KILL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        account.add(new Entry.Stopped(at, clock.now(), number, false));
    }

    void terminate() {
        told = true;
        account.add(new Entry.Stopped(clock.now(), clock.now(), number, true));
        running.terminate();
    }

    /** Notes it if the process has ended though nobody told it to; to be called again and again. */
    void look() {
        if (running != null && !told && !running.alive()) {
            told = true;
            account.add(new Entry.Died(clock.now(), number, "ended by itself"));
        } else if (running != null && running.alive()) {
            cpu = Math.max(cpu, running.cpu());
        }
    }

    /** Waits for the end of a planned stop; one that has to be killed, or fails, has not ended as planned. */
    void awaitEnd(long millis, boolean planned) throws InterruptedException {
        if (running == null) {
            return;
        }
        int status = running.awaitEnd(millis);
        if (status < 0) {
            running.kill();
            running.awaitEnd(millis);
        }
        if (planned && status != 0) {
            String how = status < 0 ? "did not end after SIGTERM" : "ended with status " + status;
            account.add(new Entry.Died(clock.now(), number, how));
        }
        running = null;
    }

    /** Processor time of its last process, in nanoseconds; 0 where it is not known. */
    long cpu() {
        return Math.max(0, cpu);
    }
}
