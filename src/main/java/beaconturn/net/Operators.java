package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.Message;
import beaconturn.net.control.ControlAddress;
import beaconturn.net.control.Hand;
import beaconturn.net.control.HandFile;
import beaconturn.net.control.Office;
import beaconturn.stats.Counters;
import beaconturn.stats.Tally;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** What a router has for its operators where a second address is set; else none of it is loaded. */
final class Operators implements Office {
    private static final long MILLI = 1_000_000;
    private final Counters counters = new Counters();
    private final Lifecycle lifecycle;
    private final Consumer<Message> module;
    private final HandFile file;
    private final ControlAddress address;

    /** Binds the second address. */
    Operators(RouterConfig config, Lifecycle lifecycle, Clock clock, Consumer<Message> module)
            throws IOException {
        this.lifecycle = lifecycle;
        this.module = module;
        this.file = new HandFile(config.kept("hand"), config.shared());
        this.address = new ControlAddress(config.control(), this, counters, file, clock::now);
    }

    Tally tally() {
        return counters;
    }

    /** Answers calls from here on; what operators said before this process began is posted first. */
    void start() {
        file.read().forEach(h -> hand(h, true, known -> { }));
        Threads.start("operators", address);
    }

    InetSocketAddress address() {
        return address.address();
    }

    void close() {
        address.close();
    }

    @Override
    public String notReady() {
        return switch (lifecycle.phase()) {
            case STARTING -> "starting";
            case SERVING -> null;
            case DRAINING, STOPPED -> "stopping";
        };
    }

    @Override
    public void hand(Hand hand, boolean told, Consumer<Boolean> known) {
        module.accept(new Message.ByHand(NameHash.of(hand.id()), hand.out(), hand.atMillis() * MILLI, told,
            known));
    }
}
