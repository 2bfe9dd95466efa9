import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of this review share: a record of what was sent, answered and run, cache servers,
 * discovery and clients as stand-ins, and a router that is started by the command of the deploy
 * file. Loopback addresses and the real clock only.
 */
final class Kit2 {
  static final long START = System.nanoTime();
  private static final List<String> RECORD = new ArrayList<>();
  private static final List<Process> PROCESSES = new ArrayList<>();
  private static Path recordFile;
  private static Path folder;

  private Kit2() {}

  /** A case: returns the violations that it saw. */
  interface Case {
    List<String> run() throws Exception;
  }

  /** Whether the disruption is played. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Runs a case and ends the process: 1 for a broken rule, 0 if it held, 2 if it couldn't run. */
  static void main(String record, Case body) {
    recordFile = Path.of(record);
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(112_000);
              } catch (InterruptedException e) {
                return;
              }
              log("watchdog: the case took too long");
              finish(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    Runtime.getRuntime().addShutdownHook(new Thread(Kit2::killAll));
    int status;
    try {
      folder = Files.createTempDirectory("review-case");
      List<String> broken = body.run();
      broken.forEach(line -> log("BROKEN " + line));
      log(broken.isEmpty() ? "the rule held" : broken.size() + " violations");
      System.out.println(
          broken.isEmpty() ? "held" : "broken: " + broken.size() + " violations, first: " + broken.get(0));
      status = broken.isEmpty() ? 0 : 1;
    } catch (Throwable e) {
      log("the case could not run: " + e);
      for (StackTraceElement at : e.getStackTrace()) {
        log("    at " + at);
      }
      System.out.println("could not run: " + e);
      status = 2;
    }
    finish(status);
  }

  private static synchronized void finish(int status) {
    killAll();
    try {
      synchronized (RECORD) {
        Files.write(recordFile, RECORD);
      }
      if (folder != null) {
        try (var paths = Files.walk(folder)) {
          paths.sorted((a, b) -> b.compareTo(a)).forEach(path -> path.toFile().delete());
        }
      }
    } catch (IOException e) {
      System.out.println("record not written: " + e);
    }
    Runtime.getRuntime().halt(status);
  }

  private static void killAll() {
    synchronized (PROCESSES) {
      for (Process process : PROCESSES) {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
      }
      for (Process process : PROCESSES) {
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  /** Milliseconds since the case started. */
  static long ms() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void log(String line) {
    String text = String.format(Locale.ROOT, "%8.1f %s", (System.nanoTime() - START) / 1e6, line);
    synchronized (RECORD) {
      RECORD.add(text);
    }
    if (System.getenv("VERBOSE") != null) {
      System.err.println(text);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread start(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = listen()) {
      return socket.getLocalPort();
    }
  }

  static Path folder() {
    return folder;
  }

  // RESP

  /** One RESP2 value: a byte[] for a string, null for a null string, a List for an array, else a line. */
  static Object readValue(InputStream in) throws IOException {
    String line = readLine(in);
    char type = line.charAt(0);
    String rest = line.substring(1);
    if (type == '$') {
      int length = Integer.parseInt(rest);
      if (length < 0) {
        return null;
      }
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("end within a value");
      }
      if (in.read() != '\r' || in.read() != '\n') {
        throw new IOException("no line end after a value");
      }
      return bytes;
    }
    if (type == '*') {
      int count = Integer.parseInt(rest);
      List<Object> items = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        items.add(readValue(in));
      }
      return items;
    }
    return line;
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int c = in.read();
    while (c >= 0 && c != '\n') {
      line.write(c);
      c = in.read();
    }
    if (c < 0) {
      throw new EOFException(line.size() == 0 ? "end" : "end within a line");
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    String trimmed = text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    if (trimmed.isEmpty()) {
      throw new IOException("empty line");
    }
    return trimmed;
  }

  static byte[] command(String... words) {
    StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      out.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return out.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  static byte[] bulk(String value) {
    return ("$" + value.length() + "\r\n" + value + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  /** An answer of a cache server: value, how the read went, no load report. */
  static byte[] answer(String value, String how) {
    return ("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$" + how.length() + "\r\n" + how + "\r\n$-1\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  static String text(Object value) {
    return value instanceof byte[] bytes ? new String(bytes, StandardCharsets.ISO_8859_1) : String.valueOf(value);
  }

  // Cache servers

  /** A command that a cache server has received whole. */
  static final class Command {
    final CacheServer server;
    final int connection;
    final OutputStream out;
    final Socket socket;
    final String verb;
    final String key;
    final String id;
    final Map<String, String> words = new LinkedHashMap<>();
    final long atNanos = System.nanoTime();

    Command(CacheServer server, int connection, Socket socket, OutputStream out, List<?> items) {
      this.server = server;
      this.connection = connection;
      this.socket = socket;
      this.out = out;
      this.verb = text(items.get(0));
      this.key = text(items.get(1));
      this.id = text(items.get(2));
      for (String pair : text(items.get(3)).split(",")) {
        int equals = pair.indexOf('=');
        words.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }

    /** The value made for this request and no other. */
    String value(int bytes) {
      StringBuilder out = new StringBuilder("value of " + key + " for " + id + ";");
      while (out.length() < bytes) {
        out.append("value of ").append(key).append(" for ").append(id).append(';');
      }
      out.setLength(Math.max(bytes, ("value of " + key + " for " + id + ";").length()));
      return out.toString();
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }
  }

  /** Answers one command on the thread of its connection. */
  interface Behaviour {
    void handle(Command command) throws Exception;
  }

  /** A cache server: a thread for each connection, commands answered in order. */
  static final class CacheServer {
    final String name;
    final ServerSocket listener;
    volatile Behaviour behaviour;
    private final AtomicInteger connections = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    CacheServer(String name, Behaviour behaviour) throws IOException {
      this.name = name;
      this.behaviour = behaviour;
      this.listener = listen();
      Kit2.start(name, this::accept);
    }

    String dial() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          int number = connections.incrementAndGet();
          open.add(socket);
          Kit2.start(name + "-" + number, () -> serve(socket, number));
        }
      } catch (IOException e) {
        log(name + " accepts no more: " + e.getMessage());
      }
    }

    private void serve(Socket socket, int number) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
        while (true) {
          Object value = readValue(in);
          if (!(value instanceof List<?> items) || items.size() < 4) {
            out.write("-ERR unknown\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            continue;
          }
          behaviour.handle(new Command(this, number, socket, out, items));
        }
      } catch (EOFException e) {
        return;
      } catch (Exception e) {
        if (System.getenv("VERBOSE") != null) {
          log(name + " connection " + number + ": " + e);
        }
      } finally {
        open.remove(socket);
      }
    }
  }

  // Discovery

  /** One entry of discovery's list. */
  record Host(String host, String dial, String site, int block, String health, long bornMs) {
    String json() {
      return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"" + site
          + "\",\"class\":\"std\",\"block\":" + block + ",\"health\":\"" + health
          + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }
  }

  /** Discovery: the whole list, and watches that wait for a newer version. */
  static final class Discovery {
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();
    private long seq = 41;
    private ServerSocket listener;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    /** Delay before any call is answered, as when many callers wait in turn. */
    volatile long turnMillis;
    final AtomicInteger calls = new AtomicInteger();
    final AtomicLong lastRefusedNanos = new AtomicLong();
    private volatile boolean down;

    Discovery() throws IOException {
      listener = listen();
      port = listener.getLocalPort();
      Kit2.start("discovery", () -> accept(listener));
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    synchronized long seq() {
      return seq;
    }

    /** Sets an entry; the change has the next version. */
    synchronized void set(Host host) {
      hosts.put(host.host(), host);
      changedAt.put(host.host(), ++seq);
      log("discovery has version " + seq + ": " + host.host() + " is " + host.health());
      notifyAll();
    }

    synchronized String whole() {
      StringBuilder out = new StringBuilder("{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[");
      String comma = "";
      for (Host host : hosts.values()) {
        if (!host.health().equals("gone")) {
          out.append(comma).append(host.json());
          comma = ",";
        }
      }
      return out.append("]}").toString();
    }

    private synchronized String changes(long after) {
      StringBuilder out = new StringBuilder("{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[");
      String comma = "";
      for (Host host : hosts.values()) {
        if (changedAt.get(host.host()) > after) {
          out.append(comma).append(host.json());
          comma = ",";
        }
      }
      return out.append("]}").toString();
    }

    /** Goes down: open calls are reset, new connections are refused. */
    void goDown() throws IOException {
      down = true;
      listener.close();
      for (Socket socket : open) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // Closed already.
        }
      }
      log("discovery is down");
    }

    /** Comes back at the same address. */
    void comeBack() throws IOException {
      down = false;
      ServerSocket fresh = new ServerSocket();
      fresh.setReuseAddress(true);
      fresh.bind(new InetSocketAddress("127.0.0.1", port), 512);
      listener = fresh;
      Kit2.start("discovery", () -> accept(fresh));
      log("discovery is back");
    }

    private void accept(ServerSocket from) {
      try {
        while (true) {
          Socket socket = from.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          Kit2.start("discovery-call", () -> serve(socket));
        }
      } catch (IOException e) {
        return;
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          String request = readLine(in);
          while (!readHeader(in).isEmpty()) {
            // Headers are not needed.
          }
          calls.incrementAndGet();
          log("discovery is called: " + request);
          sleep(turnMillis);
          String path = request.split(" ")[1];
          Matcher watch = Pattern.compile("after=(-?[0-9]+)&wait_ms=([0-9]+)").matcher(path);
          String body = watch.find()
              ? watch(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
              : whole();
          byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
          OutputStream out = socket.getOutputStream();
          ByteArrayOutputStream message = new ByteArrayOutputStream();
          message.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
              + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
          message.write(bytes);
          out.write(message.toByteArray());
          out.flush();
          log("discovery has written " + body);
        }
      } catch (IOException e) {
        return;
      } finally {
        open.remove(socket);
      }
    }

    private static String readHeader(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new EOFException("end");
        }
        if (c != '\r') {
          line.write(c);
        }
      }
      return line.toString(StandardCharsets.ISO_8859_1);
    }

    private synchronized String watch(long after, long waitMillis) {
      long until = System.nanoTime() + waitMillis * 1_000_000;
      while (seq <= after && !down) {
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          break;
        }
      }
      return changes(after);
    }
  }

  // Routers

  /** A router, started with the command of the deploy file. */
  static final class Router {
    final String name;
    final int port;
    final Path config;
    final Process process;
    final long startedNanos = System.nanoTime();

    Router(String name, String configText, Map<String, String> more) throws IOException {
      this.name = name;
      this.port = Integer.parseInt(find(configText, "\"listen\":\"127.0.0.1:([0-9]+)\""));
      this.config = folder.resolve(name + ".json");
      Files.writeString(config, configText);
      Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
      Path top = Path.of("").toAbsolutePath();
      String run = find(Files.readString(top.resolve("deploy/balancer.toml")), "(?m)^run = \"(.*)\"$");
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.directory(top.toFile());
      Map<String, String> environment = builder.environment();
      environment.keySet().removeIf(key -> key.startsWith("PROXY_"));
      environment.remove("JAVA_TOOL_OPTIONS");
      environment.put("PROXY_CONFIG", config.toString());
      environment.put("PROXY_NAME", name);
      environment.put("TMPDIR", temporary.toString());
      environment.putAll(more);
      builder.redirectErrorStream(true);
      builder.redirectOutput(folder.resolve(name + ".log").toFile());
      builder.redirectInput(new File("/dev/null"));
      process = builder.start();
      synchronized (PROCESSES) {
        PROCESSES.add(process);
      }
      log("router " + name + " is started");
    }

    void awaitReady(long withinMillis) throws IOException {
      long until = System.nanoTime() + withinMillis * 1_000_000;
      while (System.nanoTime() < until) {
        if (!process.isAlive()) {
          throw new IOException("router " + name + " has ended: " + Files.readString(folder.resolve(name + ".log")));
        }
        try (Client client = new Client(port)) {
          client.send(command("PING"));
          if (text(client.read(1000)).equals("+PONG")) {
            log("router " + name + " is ready, "
                + (System.nanoTime() - startedNanos) / 1_000_000 + " ms after its start");
            return;
          }
        } catch (IOException e) {
          sleep(2);
        }
      }
      throw new IOException("router " + name + " is not ready in time");
    }

    void signal(String signal) throws Exception {
      log("router " + name + " gets SIG" + signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Adds the router's own log to the record. */
    void logOutput() throws IOException {
      for (String line : Files.readAllLines(folder.resolve(name + ".log"), StandardCharsets.ISO_8859_1)) {
        log("log of " + name + ": " + line);
      }
    }
  }

  static String find(String text, String pattern) throws IOException {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    if (!matcher.find()) {
      throw new IOException("not found: " + pattern);
    }
    return matcher.group(1);
  }

  // Clients

  /** One client connection. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
      in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    }

    void send(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
    }

    /** Reads one answer; throws SocketTimeoutException if none has come whole in time. */
    Object read(int withinMillis) throws IOException {
      socket.setSoTimeout(withinMillis);
      return readValue(in);
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        return;
      }
    }
  }

  static boolean isTimeout(IOException e) {
    return e instanceof SocketTimeoutException;
  }
}
