package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.ledger.Account;
import beaconturn.ledger.Entry;
import beaconturn.ledger.Judge;
import beaconturn.standin.Agenda;
import beaconturn.standin.Fault;
import beaconturn.standin.Seeds;
import beaconturn.standin.World;
import beaconturn.standin.net.Surroundings;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Plays one scenario from its start to its verdicts. */
public final class Rehearsal {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1000 * MILLI;
    /** What sockets and threads may add to any limit of the rules. */
    private static final long SOCKET_SLACK = 50 * MILLI;
    private static final long LEAD = 200 * MILLI;
    private static final long FRONT_GOES_ON = 300 * MILLI;
    private static final long STEP_MILLIS = 20;
    private static final long END_MILLIS = 8000;
    private final Scenario scenario;
    private final RouterLauncher launcher;
    private final Path folder;
    private final Consumer<String> progress;
    private final Clock clock = Clock.system();
    private final Account account = new Account();
    private final List<RouterSeat> seats = new ArrayList<>();
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private Surroundings surroundings;
    private ClientCrowd crowd;
    private final List<Thread> restarts = new ArrayList<>();
    private long start;

    /** Something that is done to a router at a time. */
    private record Step(long at, int number, Runnable body) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Integer.compare(number, other.number);
        }
    }

    /**
     * A play; nothing happens before {@link #play}.
     *
     * @param folder where configurations and logs of routers go
     * @param progress is told now and then, in a few words, how far it is
     */
    public Rehearsal(Scenario scenario, RouterLauncher launcher, Path folder, Consumer<String> progress) {
        this.scenario = scenario;
        this.launcher = launcher;
        this.folder = folder;
        this.progress = progress;
    }

    /** Plays it; an I/O failure means that it could not be played, not that a rule was broken. */
    public Report play() throws IOException, InterruptedException {
        for (Scenario.FaultSpec fault : scenario.faults()) {
            if (fault.kind().target() == Fault.Target.ROUTER && !launcher.restarts()) {
                throw new IOException(fault.kind().word() + " needs routers that are processes of their own");
            }
        }
        Agenda agenda = new Agenda(clock.now());
        World world = new World(agenda, scenario.world(), new Seeds(scenario.seed()),
            new AccountWitness(account));
        surroundings = new Surroundings(world, clock::now, scenario.routers().size(), 0);
        PauseWatch pauses = new PauseWatch(clock, account);
        Tally tally = new Tally(scenario);
        try {
            surroundings.start();
            startRouters();
            crowd = new ClientCrowd(scenario, seats.stream().map(RouterSeat::address).toList(), clock,
                account,
                tally);
            long cpu = processCpu();
            pauses.start();
            start = clock.now() + LEAD;
            planFaults();
            crowd.start(Plan.of(scenario), start);
            run();
            cpu = processCpu() - cpu;
            settle();
            pauses.stop();
            List<Entry> entries = account.entries();
            return new Report(scenario, start, entries, Judge.judge(scenario.terms(SOCKET_SLACK), entries),
                tally.lines(), cpu, seats.stream().mapToLong(RouterSeat::cpu).sum(), tally.senderLate(),
                pauses.total());
        } finally {
            pauses.stop();
            endRouters();
            surroundings.close();
        }
    }

    private static long processCpu() {
        return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
    }

    private void startRouters() throws IOException, InterruptedException {
        progress.accept("starting " + scenario.routers().size() + " routers");
        for (int i = 0; i < scenario.routers().size(); i++) {
            seats.add(new RouterSeat(scenario, i, surroundings, launcher, clock, account, folder));
            seats.get(i).launch();
        }
        for (RouterSeat seat : seats) {
            seat.awaitReady();
        }
    }

    private void planFaults() {
        for (Scenario.FaultSpec fault : scenario.faults()) {
            if (fault.kind().target() == Fault.Target.ROUTER) {
                fault.target().forEach(name -> planRouter(fault, scenario.router(name)));
            } else {
                surroundings.tell(() -> planStandIn(fault));
            }
        }
    }

    /** On the model's thread. */
    private void planStandIn(Scenario.FaultSpec fault) {
        World world = surroundings.world();
        if (fault.target().isEmpty()) {
            world.agenda().at(start + fault.from(), () -> world.begin(fault.kind(), fault.amount()));
            endWithin(fault, () -> world.end(fault.kind()));
            return;
        }
        for (String name : fault.target()) {
            int place = world.placeOf(name);
            world.agenda().at(start + fault.from(), () -> world.begin(fault.kind(), place, fault.amount()));
            endWithin(fault, () -> world.end(fault.kind(), place));
        }
    }

    /** What lasts to the end of the play is not mended: nobody would see it. */
    private void endWithin(Scenario.FaultSpec fault, Runnable end) {
        if (fault.to() < scenario.length()) {
            surroundings.world().agenda().at(start + fault.to(), end);
        }
    }

    private void planRouter(Scenario.FaultSpec fault, int router) {
        RouterSeat seat = seats.get(router);
        Scenario.Clients stream = scenario.clients().get(0);
        boolean planned = fault.kind() == Fault.Kind.ROUTER_TERM;
        step(fault.from(), planned ? seat::terminate : seat::kill);
        step(fault.from() + (planned ? FRONT_GOES_ON : stream.notice()), () -> crowd.avoid(router, true));
        step(fault.to(), () -> {
            Thread thread = new Thread(() -> restart(router, planned), "restart");
            thread.setDaemon(true);
            thread.start();
            restarts.add(thread);
        });
    }

    private void step(long at, Runnable body) {
        steps.add(new Step(start + at, steps.size(), body));
    }

    private void restart(int router, boolean planned) {
        RouterSeat seat = seats.get(router);
        try {
            seat.awaitEnd(END_MILLIS, planned);
            seat.launch();
            seat.awaitReady();
            crowd.avoid(router, false);
        } catch (IOException e) {
            account.add(new Entry.Died(clock.now(), router, e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() throws InterruptedException {
        long end = start + scenario.length();
        long told = 0;
        while (clock.now() < end) {
            while (!steps.isEmpty() && steps.peek().at() <= clock.now()) {
                steps.remove().body().run();
            }
            seats.forEach(RouterSeat::look);
            long second = Math.max(0, clock.now() - start) / SECOND;
            if (second != told) {
                told = second;
                progress.accept(second + " of " + scenario.length() / SECOND + " s, " + crowd.out()
                    + " requests out" + active(second * SECOND));
            }
            Thread.sleep(STEP_MILLIS);
        }
    }

    private String active(long at) {
        List<String> names = scenario.faults().stream().filter(f -> f.from() <= at && at < f.to())
            .map(f -> f.kind().word() + (f.target().isEmpty() ? "" : " " + String.join(" ",
                f.target()))).toList();
        return names.isEmpty() ? "" : "; " + String.join(", ", names);
    }

    /** Lets what is out come to its end, stops the routers as planned and lets go of everything. */
    private void settle() throws InterruptedException {
        progress.accept("settling");
        long longest = scenario.types().stream().mapToLong(Scenario.Type::deadline).max().orElse(0);
        crowd.drained(clock.now() + longest * 2 + 2 * SECOND);
        crowd.finish();
        // One that still starts would be ended before it is ready, which is no offence of its own.
        for (Thread restart : restarts) {
            restart.join();
        }
        surroundings.tell(() -> surroundings.world().healAll());
        seats.forEach(RouterSeat::look);
        seats.forEach(RouterSeat::terminate);
        for (RouterSeat seat : seats) {
            seat.awaitEnd(END_MILLIS, true);
        }
        // A turn of the stand-ins after the last end, which sees the connections that ended with it.
        for (int turn = 0; turn < 3; turn++) {
            surroundings.tell(() -> { });
            Thread.sleep(1);
        }
    }

    private void endRouters() throws InterruptedException {
        for (RouterSeat seat : seats) {
            seat.awaitEnd(0, false);
        }
    }
}
