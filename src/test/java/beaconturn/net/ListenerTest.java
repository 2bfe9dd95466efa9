package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two listeners on one socket, as two processes of one router have it during an upgrade. */
@Timeout(30)
class ListenerTest {
    private final BlockingQueue<SocketChannel> accepted = new LinkedBlockingQueue<>();

    @Test
    void oneThatStopsLeavesTheSharedSocketAndItsQueueToTheOther() throws IOException, InterruptedException {
        try (ServerSocketChannel shared = ServerSocketChannel.open()) {
            shared.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Listener before = Listener.on(shared, accepted::add);
            before.start();
            connect(before);
            accepted.take().close();
            before.close();
            connect(before);
            Listener after = Listener.on(shared, accepted::add);
            after.start();
            accepted.take().close();
            connect(after);
            accepted.take().close();
            after.close();
            assertTrue(shared.isOpen());
            assertEquals(0, accepted.size());
        }
    }

    private static void connect(Listener to) throws IOException {
        new Socket(to.address().getAddress(), to.address().getPort()).close();
    }
}
