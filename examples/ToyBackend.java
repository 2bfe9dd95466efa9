import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What a router needs round it, in one process and in memory only: three cache servers, a slow origin behind
 * them, and discovery. For trying a router out; start it with "java examples/ToyBackend.java". Lines on
 * standard input change the list: "drain 2", "gone 2" or "ready 2" for the second cache server.
 */
public final class ToyBackend {
    private static final int CACHES = 3;
    private static final int FIRST_PORT = 6401;
    private static final int DISCOVERY_PORT = 8500;
    private static final int ORIGIN_MILLIS = 120;
    private static final int CACHE_MILLIS = 5;
    private static final String[] HEALTH = new String[CACHES];
    private static final Map<String, byte[]> ORIGIN = new ConcurrentHashMap<>();
    private static final List<Map<String, byte[]>> KEPT = new ArrayList<>();
    private static final Object CHANGED = new Object();
    private static int version = 1;

    private ToyBackend() {
    }

    private interface Session {
        void run(InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    /** Runs until standard input ends or the process is stopped. */
    public static void main(String[] args) throws IOException {
        for (int i = 0; i < CACHES; i++) {
            HEALTH[i] = "ready";
            Map<String, byte[]> kept = new ConcurrentHashMap<>();
            KEPT.add(kept);
            int number = i + 1;
            listen(FIRST_PORT + i, (in, out) -> cache(number, kept, in, out));
        }
        listen(DISCOVERY_PORT, ToyBackend::discovery);
        System.out.println("caches on 127.0.0.1:" + FIRST_PORT + " to " + (FIRST_PORT + CACHES - 1)
            + ", discovery on 127.0.0.1:" + DISCOVERY_PORT);
        for (String line = line(System.in); line != null; line = line(System.in)) {
            change(line.trim().split(" "));
        }
    }

    private static void listen(int port, Session session) throws IOException {
        ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        new Thread(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    new Thread(() -> serve(socket, session)).start();
                } catch (IOException e) {
                    System.out.println("port " + port + ": " + e.getMessage());
                }
            }
        }).start();
    }

    private static void serve(Socket socket, Session session) {
        try (socket) {
            session.run(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
        } catch (IOException e) {
            System.out.println("connection ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads through: what it lacks comes from the origin, slowly, and is kept. */
    private static void cache(int number, Map<String, byte[]> kept, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
        for (String[] c = command(in); c != null; c = command(in)) {
            Thread.sleep(CACHE_MILLIS);
            String how = "miss";
            byte[] answer = kept.get(c[1]);
            if (c[0].equals("C.SET")) {
                Thread.sleep(ORIGIN_MILLIS);
                ORIGIN.put(c[1], c[4].getBytes(StandardCharsets.ISO_8859_1));
                for (Map<String, byte[]> copies : KEPT) {
                    copies.remove(c[1]);
                }
                answer = "stored".getBytes(StandardCharsets.ISO_8859_1);
            } else if (answer != null) {
                how = "hit";
            } else {
                Thread.sleep(ORIGIN_MILLIS);
                answer = ORIGIN.getOrDefault(c[1], ("level of " + c[1]).getBytes(StandardCharsets.ISO_8859_1));
                kept.put(c[1], answer);
            }
            System.out.println("cache " + number + ": " + String.join(" ", c) + " -> " + how);
            out.write(("*3\r\n$" + answer.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(answer);
            out.write(("\r\n$" + how.length() + "\r\n" + how + "\r\n$-1\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static String[] command(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) {
            return null;
        }
        String[] words = new String[Integer.parseInt(head.substring(1))];
        for (int i = 0; i < words.length; i++) {
            int length = Integer.parseInt(line(in).substring(1));
            words[i] = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
            line(in);
        }
        return words;
    }

    /** The whole list at every change: a watch waits until there is a version newer than it has. */
    private static void discovery(InputStream in, OutputStream out) throws IOException, InterruptedException {
        for (String head = line(in); head != null; head = line(in)) {
            while (!line(in).isEmpty()) {
                continue;
            }
            int after = figure(head, "after=", -1);
            long until = System.currentTimeMillis() + figure(head, "wait_ms=", 0);
            synchronized (CHANGED) {
                while (version <= after && System.currentTimeMillis() < until) {
                    CHANGED.wait(Math.max(1, until - System.currentTimeMillis()));
                }
            }
            byte[] body = list().getBytes(StandardCharsets.ISO_8859_1);
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
        }
    }

    private static int figure(String head, String name, int fallback) {
        int at = head.indexOf(name);
        return at < 0 ? fallback : Integer.parseInt(head.substring(at + name.length()).split("[& ]")[0]);
    }

    private static String list() {
        synchronized (CHANGED) {
            StringBuilder lines = new StringBuilder();
            for (int i = 0; i < CACHES; i++) {
                if (!HEALTH[i].equals("gone")) {
                    lines.append(lines.length() == 0 ? "" : ",").append("{\"host\":\"toy-").append(i + 1)
                        .append("\",\"dial\":\"127.0.0.1:").append(FIRST_PORT + i)
                        .append("\",\"site\":\"here\",\"class\":\"toy\",\"block\":0,\"health\":\"")
                        .append(HEALTH[i]).append("\",\"share\":1.0,\"born_ms\":0}");
                }
            }
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + lines + "]}";
        }
    }

    private static void change(String[] words) {
        boolean known = words.length == 2 && words[0].matches("ready|drain|gone") && words[1].matches("[1-3]");
        if (!known) {
            System.out.println("say ready, drain or gone, and 1, 2 or 3");
            return;
        }
        synchronized (CHANGED) {
            HEALTH[Integer.parseInt(words[1]) - 1] = words[0].equals("drain") ? "draining" : words[0];
            version++;
            CHANGED.notifyAll();
        }
        System.out.println("list version " + version + ": " + String.join(" ", HEALTH));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
