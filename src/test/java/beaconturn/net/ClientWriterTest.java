package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.core.Clock;
import beaconturn.protocol.Slice;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ClientWriterTest {
    private static final int LARGE = 32 << 20;

    /** A client that asks on and reads nothing must not have its answers pile up in the router's memory. */
    @Test
    @Timeout(60)
    void behindAWriteThatIsStuckNoMoreRequestsAreTaken() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket client = new Socket(server.getInetAddress(), server.getLocalPort());
                Socket socket = server.accept()) {
            ClientWriter writer = new ClientWriter(socket, Clock.system(), new Writers(), () -> { });
            writer.take(Reply.of(new Slice(new byte[LARGE], 0, LARGE)));
            while (writer.writingSince() == Long.MAX_VALUE) {
                Thread.onSpinWait();
            }
            writer.take(Reply.of(Slice.of("+b\r\n")));
            writer.take(Reply.of(Slice.of("+c\r\n")));
            Thread asker = Threads.start("test-asker", () -> {
                try {
                    writer.take(Reply.of(Slice.of("+d\r\n")));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            while (asker.getState() != Thread.State.WAITING && asker.getState() != Thread.State.TERMINATED) {
                Thread.onSpinWait();
            }
            assertEquals(Thread.State.WAITING, asker.getState());
            client.getInputStream().readNBytes(LARGE);
            assertEquals("+b\r\n+c\r\n+d\r\n", new String(client.getInputStream().readNBytes(12)));
        }
    }
}
