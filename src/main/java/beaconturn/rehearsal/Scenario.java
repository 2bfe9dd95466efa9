package beaconturn.rehearsal;

import beaconturn.ledger.Terms;
import beaconturn.standin.CacheShape;
import beaconturn.standin.Fault;
import beaconturn.standin.Origin;
import beaconturn.standin.World;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A whole rehearsal as a file describes it, with every default filled in. Times are nanoseconds; those of
 * clients and faults count from the first request.
 */
public record Scenario(String name, String about, long seed, long length, Fleet fleet, Origin.Shape origin,
        long listLag, Rules rules, List<Type> types, List<RouterSpec> routers, List<Clients> clients,
        List<FaultSpec> faults) {

    /** The cache servers: how many, where, and what each can do. */
    public record Fleet(int caches, List<String> sites, int cell, CacheShape shape) { }

    /** What the settings tell a router, beside the classes. */
    public record Rules(int mostTries, boolean secondCopies, boolean cancel, long mostRetryAfter,
            long dialTimeout, long idle, long drainGrace, long answerSlack, long askWithin) { }

    /** Whether a class may run more than once, as the settings and as operators call it. */
    public enum Effect {
        /** Reads. */
        SAFE("read_like"),
        /** Writes whose repeats are discarded by their key. */
        KEYED("idempotency_key"),
        /** Writes that must never run twice. */
        UNSAFE("non_idempotent");

        private final String setting;

        Effect(String setting) {
            this.setting = setting;
        }

        /** The word of the settings. */
        public String setting() {
            return setting;
        }
    }

    /**
     * A class of request; {@code share} is its part of the traffic, {@code size} that of a value in bytes.
     */
    public record Type(String name, Effect effect, double share, long work, int size, long aim, long deadline,
            double worth, long window, String scope) { }

    /** A router: its name and its limits. */
    public record RouterSpec(String name, int memoryMb, int sockets) { }

    /** A stream of requests; {@code classes} empty means all by their shares. */
    public record Clients(double rate, List<String> classes, int keys, double skew, int retries, long backoff,
            double tryShare, long notice, long from, long to) { }

    /** A fault; {@code target} names cache servers or routers, and is empty for the origin and discovery. */
    public record FaultSpec(Fault.Kind kind, List<String> target, double amount, long from, long to) { }

    /** The class of that name. */
    Type type(String wanted) {
        return types.stream().filter(t -> t.name().equals(wanted)).findFirst().orElseThrow();
    }

    /** The number of the router of that name. */
    int router(String wanted) {
        return routers.stream().map(RouterSpec::name).toList().indexOf(wanted);
    }

    /** The name of the cache server at a place. */
    static String cacheName(int place) {
        return "c" + (place + 1);
    }

    /** The surroundings that the scenario asks for. */
    public World.Shape world() {
        List<World.Member> members = new java.util.ArrayList<>();
        for (int place = 0; place < fleet.caches(); place++) {
            String site = fleet.sites().get(place % fleet.sites().size());
            int block = place / fleet.sites().size() / fleet.cell();
            members.add(new World.Member(cacheName(place), site, "standin", block, 1, fleet.shape()));
        }
        return new World.Shape(List.copyOf(members), origin, types.stream().map(Scenario::work).toList(),
            listLag,
            rules.drainGrace());
    }

    private static beaconturn.standin.Work work(Type t) {
        return new beaconturn.standin.Work(t.name(), t.work(), t.size(), t.effect() != Effect.SAFE,
            t.effect() == Effect.KEYED, t.window(), t.scope());
    }

    /** What the account is judged by; on sockets each limit is {@code slack} longer. */
    public Terms terms(long slack) {
        Map<String, Terms.Type> known = new LinkedHashMap<>();
        for (Type t : types) {
            known.put(t.name(),
                new Terms.Type(Terms.Effect.valueOf(t.effect().name()), t.scope(), t.window()));
        }
        CacheShape shape = fleet.shape();
        return new Terms(known, rules.mostTries(), rules.secondCopies(), rules.answerSlack() + slack,
            rules.drainGrace(), slack, rules.askWithin(), shape.coldShare(), shape.coldFor(),
            shape.fallMultiple(), shape.fallAfter());
    }
}
