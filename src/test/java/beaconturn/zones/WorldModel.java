package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
import beaconturn.agreement.Served;
import beaconturn.agreement.Timing;
import beaconturn.standin.Agenda;
import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Routers of several places before a store, in virtual time. Each router takes so many requests a second
 * and sends them by the row that is due; what a place makes of them is the test's. Everybody sends all the
 * time, and what all send to a place together is added up.
 */
final class WorldModel {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1000 * MILLI;
    static final Timing TIMING = new Timing(2 * SECOND, 0.02, 500 * MILLI);
    private static final ZonesKeys KEYS = new ZonesKeys("/fleet");
    private static final long ACT_EVERY = 50 * MILLI;
    private static final int FULL = 10;
    final Agenda agenda = new Agenda(0);
    final Geography map;
    final SortedMap<String, Spot> spots = new TreeMap<>();
    final List<Seat> seats = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final Random random;
    private final StoreModel store;

    /** A place: its cache servers, and how each router finds them. */
    final class Spot {
        final String name;
        int listed;
        int warm;
        boolean bad;
        double each;
        /** Sent there in this step, and the most that was in one of the last second. */
        double sent;
        double most;

        private Spot(String name, int servers, double each) {
            this.name = name;
            this.listed = servers;
            this.warm = servers;
            this.each = each;
        }

        double capacity() {
            return bad ? 0 : warm * each;
        }
    }

    /** A router. */
    final class Seat implements Follower.Router {
        final String name;
        final String home;
        final double perSecond;
        boolean cut;
        boolean down;
        /** Finds all bad whatever it is, all good, or tells always the same. */
        String lies = "";
        final List<String> unreachable = new ArrayList<>();
        private final SortedMap<String, double[]> counts = new TreeMap<>();
        private double arrivals;
        double served;
        double refused;
        Follower follower;
        private Report stuck;
        private int life;

        private Seat(String name, String home, double perSecond) {
            this.name = name;
            this.home = home;
            this.perSecond = perSecond;
            spots.keySet().forEach(p -> counts.put(p, new double[2]));
        }

        void start() {
            int born = ++life;
            down = false;
            counts.values().forEach(c -> java.util.Arrays.fill(c, 0));
            follower = new Follower(KEYS, map, TIMING, home, name + "/" + born, random.nextLong(),
                agenda.now(), this,
                line -> log.add(agenda.now() / MILLI + " " + name + " " + line));
            step(born);
        }

        void die() {
            life++;
            down = true;
        }

        private void step(int born) {
            if (born != life) {
                return;
            }
            follower.look(agenda.now());
            Call call = follower.next(agenda.now());
            if (call == null) {
                agenda.in(Math.max(MILLI, Math.min(100 * MILLI, follower.wakeAt() - agenda.now())),
                    () -> step(born));
                return;
            }
            long way = MILLI + random.nextInt(10) * MILLI;
            boolean heard = !cut;
            agenda.in(way, () -> {
                Answer answer = heard ? Served.of(store, call) : null;
                agenda.in(heard ? way : TIMING.callTimeout() - way, () -> {
                    if (born == life) {
                        follower.answered(agenda.now(), answer != null && !cut ? answer
                            : new Answer.Failed("no answer in time"));
                        step(born);
                    }
                });
            });
        }

        @Override
        public Report sees(String router, long number, long plan) {
            SortedMap<String, Seen> places = new TreeMap<>();
            spots.forEach((p, spot) -> {
                long good = (long) counts.get(p)[0];
                long bad = (long) counts.get(p)[1];
                places.put(p, lies.equals("bad") ? new Seen(0, good + bad, 0, spot.listed, 0, spot.listed)
                    : lies.equals("good") ? new Seen(good + bad, 0, 0, spot.listed, spot.listed, 0)
                    : new Seen(good, bad, 0, spot.listed, spot.warm, 0));
            });
            Report report = new Report(router, home, number, plan, (long) arrivals, places);
            stuck = stuck == null ? report : stuck;
            return lies.equals("stuck") ? stuck : report;
        }

        private void act(double seconds) {
            if (down) {
                return;
            }
            arrivals += perSecond * seconds;
            Row row = follower.due(agenda.now()).row();
            row.parts().forEach((p, part) -> {
                double sent = perSecond * seconds * part / Row.WHOLE;
                Spot spot = spots.get(p);
                boolean fine = !spot.bad && spot.listed > 0 && !unreachable.contains(p);
                if (!unreachable.contains(p)) {
                    spot.sent += sent;
                }
                counts.get(p)[fine ? 0 : 1] += spot.listed > 0 ? sent : 0;
                served += fine ? sent : 0;
            });
            refused += perSecond * seconds * (Row.WHOLE - row.sum()) / Row.WHOLE;
        }
    }

    /**
     * So many routers in each place, each of which takes so many requests a second; ten cache servers each.
     */
    WorldModel(long seed, Map<String, String> regions, int routers, double perSecond, double each) {
        this.random = new Random(seed);
        this.map = new Geography(new TreeMap<>(regions), each, 1e6, 50);
        this.store = new StoreModel(agenda, 7, (at, revision, key, value) -> { });
        for (String place : map.places()) {
            spots.put(place, new Spot(place, FULL, each));
        }
        for (String place : map.places()) {
            for (int i = 0; i < routers; i++) {
                seats.add(new Seat(place + i, place, perSecond));
            }
        }
        seats.forEach(Seat::start);
        agenda.in(ACT_EVERY, this::acting);
    }

    private void acting() {
        spots.values().forEach(s -> s.sent = 0);
        seats.forEach(s -> s.act(ACT_EVERY / (double) SECOND));
        spots.values().forEach(s -> s.most = Math.max(s.most, s.sent * SECOND / ACT_EVERY));
        agenda.in(ACT_EVERY, this::acting);
    }

    void run(long time) {
        agenda.advance(agenda.now() + time);
    }

    ZonesDesk desk() {
        return new ZonesDesk(KEYS, map, call -> Served.of(store, call));
    }

    Plan plan() {
        try {
            Plan there = desk().look().plan();
            return there == null ? Plan.first(map) : there;
        } catch (AgreementException e) {
            throw new IllegalStateException(e);
        }
    }

    List<Seat> of(String place) {
        return seats.stream().filter(s -> s.home.equals(place)).toList();
    }

    /** What part of a place's requests was served while it ran so long. */
    double served(String place, long time) {
        double before = of(place).stream().mapToDouble(s -> s.served).sum();
        double wanted = of(place).stream().filter(s -> !s.down).mapToDouble(s -> s.perSecond).sum() * time
            / SECOND;
        run(time);
        return (of(place).stream().mapToDouble(s -> s.served).sum() - before) / wanted;
    }

    /** The most that was sent to a place in a step since it was last asked, as a part of what it carries. */
    double peak(String place) {
        Spot spot = spots.get(place);
        double most = spot.most;
        spot.most = 0;
        return most / spot.capacity();
    }

    String said() {
        return String.join("\n", log);
    }
}
