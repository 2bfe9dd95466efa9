package beaconturn.net;

import beaconturn.protocol.HttpReader;
import beaconturn.protocol.HttpResponse;
import beaconturn.protocol.HttpWriter;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** Calls discovery over one kept connection; for one thread. */
final class RegistryClient {
    private static final int LONGEST_BODY = 1 << 22;
    private static final int CONNECT_MILLIS = 1000;
    private static final int OK = 200;
    private final InetSocketAddress address;
    private Socket socket;
    private InputBuffer in;

    RegistryClient(InetSocketAddress address) {
        this.address = address;
    }

    /** The body of a successful answer; anything else is an exception, and the connection is closed. */
    Slice get(String path, int timeoutMillis) throws IOException, ProtocolException {
        boolean keep = false;
        try {
            if (socket == null) {
                socket = Sockets.connect(address, CONNECT_MILLIS);
                in = new InputBuffer();
            }
            String host = address.getHostString() + ":" + address.getPort();
            Sockets.write(socket.getOutputStream(), List.of(HttpWriter.get(path, host)));
            HttpResponse response = answer(System.nanoTime() + timeoutMillis * 1_000_000L);
            keep = response.keepAlive() && in.size() == 0;
            if (response.status() != OK) {
                throw new IOException("status " + response.status());
            }
            return response.body();
        } finally {
            if (!keep) {
                close();
            }
        }
    }

    private HttpResponse answer(long until) throws IOException, ProtocolException {
        HttpReader reader = new HttpReader(LONGEST_BODY);
        HttpResponse response = null;
        boolean more = true;
        while (response == null && more) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new IOException("no answer in time");
            }
            socket.setSoTimeout((int) left);
            more = Sockets.read(socket.getInputStream(), in);
            response = reader.next(in, !more);
        }
        if (response == null) {
            throw new IOException("connection ended before the answer");
        }
        return response;
    }

    private void close() {
        if (socket != null) {
            Sockets.close(socket);
            socket = null;
        }
    }
}
