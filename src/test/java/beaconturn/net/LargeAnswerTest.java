package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import beaconturn.core.Lifecycle;
import beaconturn.core.ListNews;
import beaconturn.core.Samples;
import beaconturn.core.Settings;
import beaconturn.decision.Routing;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.Json;
import beaconturn.protocol.Slice;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers of 4 MiB through a whole router; the test holds both ends. */
@Timeout(60)
class LargeAnswerTest {
    private static final int SIZE = 4 << 20;
    private static final String HEAD = "*3\r\n$" + SIZE + "\r\n";
    private static final String TAIL = "\r\n$3\r\nhit\r\n$-1\r\n";
    private static final String HALF = "x".repeat(SIZE / 2);
    private final CountDownLatch goOn = new CountDownLatch(1);
    private final Lifecycle lifecycle = new Lifecycle();
    private final Peer registry = new Peer(line -> {
        line.httpHead();
        goOn.await();
    });
    private RouterServer router;

    @AfterEach
    void end() {
        goOn.countDown();
        registry.close();
    }

    /** Half of a large value, what the test says then, the rest; small values otherwise. */
    private Peer cache(String rest) {
        return new Peer(line -> {
            for (String c = line.command(); !c.equals("end"); c = line.command()) {
                if (c.contains(" large ")) {
                    line.write(HEAD + HALF);
                    goOn.await();
                    line.write(rest);
                } else {
                    line.write("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
                }
            }
        });
    }

    private Socket start(Peer cache) throws Exception {
        Settings settings = Samples.read();
        Routing.ServerEntry entry = new Routing.ServerEntry(7, 0, 0, 0, Routing.Health.READY, 1, 0);
        ListNews known = new ListNews(4, Routing.ListKind.CACHED,
            List.of(new ListNews.Member(entry, "s-1", cache.dial())));
        router = new RouterServer(new RouterConfig("r1", new InetSocketAddress("127.0.0.1", 0),
            registry.address(), 1, 100, 192, known, settings, RouterConfig.Surroundings.NONE,
            new Json.Nothing()), () -> null, lifecycle);
        router.start();
        return connect();
    }

    private Socket connect() throws IOException {
        Socket client = new Socket("127.0.0.1", router.address().getPort());
        client.setSoTimeout(20_000);
        return client;
    }

    private static DataInputStream ask(Socket client, String id) throws IOException {
        client.getOutputStream().write(("*4\r\n$5\r\nC.GET\r\n$1\r\n" + id.charAt(0) + "\r\n$" + id.length()
            + "\r\n" + id + "\r\n$13\r\nc=read,d=1500\r\n").getBytes(StandardCharsets.US_ASCII));
        return new DataInputStream(client.getInputStream());
    }

    private static void expect(DataInputStream in, String text) throws IOException {
        byte[] bytes = new byte[text.length()];
        in.readFully(bytes);
        assertEquals(text, new String(bytes, StandardCharsets.US_ASCII));
    }

    @Test
    void theFirstHalfGoesOnBeforeTheSecondHasComeAndTheConnectionServesOn() throws Exception {
        try (Peer cache = cache(HALF + TAIL); Socket client = start(cache)) {
            DataInputStream in = ask(client, "large");
            expect(in, "$" + SIZE + "\r\n" + HALF);
            goOn.countDown();
            expect(in, HALF + "\r\n");
            expect(ask(client, "small"), "$1\r\nv\r\n");
            assertEquals(1, cache.connections());
        }
    }

    /** What it does not take waits in its own cache server's connection; the others see nothing of it. */
    @Test
    void aClientThatStopsReadingHoldsUpNobodyElse() throws Exception {
        goOn.countDown();
        try (Peer cache = cache(HALF + TAIL); Socket slow = start(cache); Socket other = connect()) {
            DataInputStream in = ask(slow, "large");
            expect(in, "$" + SIZE + "\r\n");
            for (int i = 0; i < 50; i++) {
                expect(ask(other, "s" + i), "$1\r\nv\r\n");
            }
            expect(in, HALF + HALF + "\r\n");
        }
    }

    @Test
    void anAnswerThatBreaksOffEndsItsClientsConnection() throws Exception {
        for (String rest : new String[] {"", HALF + "xx", HALF + "\r\n+odd\r\n"}) {
            try (Peer cache = new Peer(line -> {
                line.command();
                line.write(HEAD + HALF + rest);
            }); Socket client = start(cache)) {
                DataInputStream in = ask(client, "large");
                String whole = "$" + SIZE + "\r\n" + HALF + HALF + "\r\n";
                assertThrows(EOFException.class, () -> expect(in, whole), rest);
            }
        }
    }

    @Test
    void aStopWaitsForWhatIsBeingPassedOn() throws Exception {
        try (Peer cache = cache(HALF + TAIL); Socket client = start(cache)) {
            DataInputStream in = ask(client, "large");
            expect(in, "$" + SIZE + "\r\n" + HALF);
            Thread stop = Threads.start("stop", () -> {
                try {
                    router.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            lifecycle.await(Lifecycle.Phase.DRAINING);
            goOn.countDown();
            expect(in, HALF + "\r\n");
            assertEquals(-1, in.read());
            client.shutdownOutput();
            stop.join();
        }
    }

    /** Only whole heads of what is larger than usual and not beyond all bounds. */
    @Test
    void aHeadIsKnownInPiecesAndTakesNoMemoryForWhatItDeclares() {
        for (int i = 0; i < HEAD.length(); i++) {
            assertNull(LargeAnswer.at(buffer(HEAD.substring(0, i))));
        }
        assertNotNull(LargeAnswer.at(buffer(HEAD)));
        for (String none : new String[] {"*3\r\n$65536\r\n", "*3\r\n$4194305\r\n",
            "*3\r\n$99999999999999\r\n", "*2\r\n$70000\r\n", "$70000\r\n", "*3\r\n$-1\r\n",
            "*3\r\n$70000\n\n"}) {
            assertNull(LargeAnswer.at(buffer(none)), none);
        }
    }

    private static InputBuffer buffer(String text) {
        InputBuffer in = new InputBuffer();
        Slice bytes = Slice.of(text);
        in.room();
        System.arraycopy(bytes.array(), 0, in.array(), in.end(), bytes.length());
        in.filled(bytes.length());
        return in;
    }
}
