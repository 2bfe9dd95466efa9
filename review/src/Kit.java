import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Small stand-ins and helpers shared by the cases of the review. */
final class Kit {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private static final long STARTED = System.nanoTime();

  private Kit() {}

  /** Whether this run includes the disruption. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static double seconds() {
    return (System.nanoTime() - STARTED) / 1e9;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread thread(String name, Step step) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                step.run();
              } catch (Exception e) {
                // A stand-in's connection has ended.
              }
            },
            name,
            256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Step {
    void run() throws Exception;
  }

  /** Runs a case and ends the process with its result. */
  static void main(Record record, java.util.concurrent.Callable<Integer> play) {
    thread(
        "limit",
        () -> {
          sleep(110_000);
          record.line("RESULT 2: not run to its end in 110 s");
          record.close();
          System.exit(NOT_RUN);
        });
    int status;
    try {
      status = play.call();
    } catch (Throwable e) {
      record.line("the case could not run: " + e);
      e.printStackTrace();
      status = NOT_RUN;
    }
    record.line(
        status == HELD
            ? "RESULT 0: the rule held"
            : status == BROKEN ? "RESULT 1: the rule was broken" : "RESULT 2: not run");
    Router.killAll();
    record.close();
    System.exit(status);
  }

  /** What was sent, answered and run: a line each, with the seconds since the start. */
  static final class Record {
    private final PrintWriter out;

    Record(String folder) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
    }

    synchronized void line(String text) {
      out.printf("%8.3f %s%n", seconds(), text);
    }

    synchronized void say(String text) {
      line(text);
      System.out.printf("%8.3f %s%n", seconds(), text);
    }

    synchronized void close() {
      out.close();
    }
  }

  /** A router, started with the command of the deploy file. */
  static final class Router {
    private static final List<Process> ALL = new ArrayList<>();

    static {
      Runtime.getRuntime().addShutdownHook(new Thread(Router::killAll));
    }

    final Process process;
    final int port;
    final Path folder;

    Router(Record record, Path folder, String name, Path config, int port) throws Exception {
      this.port = port;
      this.folder = folder;
      File top = new File(System.getProperty("top"));
      String run = null;
      for (String line : Files.readAllLines(new File(top, "deploy/balancer.toml").toPath())) {
        if (line.startsWith("run = \"")) {
          run = line.substring(7, line.lastIndexOf('"'));
        }
      }
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.directory(top);
      Path temporary = Files.createDirectories(folder.resolve("tmp-" + name));
      builder.environment().put("TMPDIR", temporary.toString());
      builder.environment().put("PROXY_CONFIG", config.toString());
      builder.environment().put("PROXY_NAME", name);
      builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      synchronized (ALL) {
        ALL.add(process);
      }
      record.line("router " + name + " started, process " + process.pid() + ", port " + port);
    }

    /** Waits until the router answers PING. */
    void awaitReady(int limitSeconds) throws Exception {
      long until = System.nanoTime() + limitSeconds * 1_000_000_000L;
      while (System.nanoTime() < until) {
        if (!process.isAlive()) {
          throw new IOException("the router ended, status " + process.exitValue());
        }
        try (Client client = new Client(port)) {
          client.write(command("PING"));
          client.socket.setSoTimeout(1000);
          Object answer = client.read();
          if (answer instanceof String text && text.equals("+PONG")) {
            return;
          }
        } catch (IOException e) {
          // Not yet.
        }
        sleep(50);
      }
      throw new IOException("the router was not ready in time");
    }

    void signal(String name) throws Exception {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    static void killAll() {
      synchronized (ALL) {
        for (Process process : ALL) {
          process.destroyForcibly();
        }
        for (Process process : ALL) {
          try {
            process.waitFor(3, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        }
      }
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  // RESP2.

  static byte[] command(String... words) {
    StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      out.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return out.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      if (b != '\r') {
        out.write(b);
      }
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  /** A simple string or an error with its first byte, a bulk string as bytes, a list, or null. */
  static Object value(InputStream in) throws IOException {
    String head = line(in);
    if (head.isEmpty()) {
      throw new IOException("empty line");
    }
    int number = head.charAt(0) == '$' || head.charAt(0) == '*' ? Integer.parseInt(head.substring(1)) : 0;
    if (number < 0) {
      return null;
    }
    switch (head.charAt(0)) {
      case '$':
        byte[] bytes = in.readNBytes(number);
        if (bytes.length < number) {
          throw new EOFException();
        }
        line(in);
        return bytes;
      case '*':
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < number; i++) {
          items.add(value(in));
        }
        return items;
      default:
        return head;
    }
  }

  static String text(Object value) {
    return value instanceof byte[] bytes
        ? new String(bytes, StandardCharsets.ISO_8859_1)
        : String.valueOf(value);
  }

  static String shown(Object value) {
    String text = value instanceof byte[] ? "value " + text(value) : String.valueOf(value);
    return text.length() > 60 ? text.substring(0, 60) + "... (" + text.length() + " characters)" : text;
  }

  /** One connection of a client. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    Object read() throws IOException {
      return value(in);
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed all the same.
      }
    }
  }

  /** A command as a cache server gets it. */
  record Command(String name, String key, String id, Map<String, String> attributes, byte[] value) {}

  /** A cache server that reads through: it answers each command of a connection in turn. */
  static class CacheServer {
    final String host;
    final ServerSocket listener;
    final Record record;

    CacheServer(Record record, String host) throws IOException {
      this.record = record;
      this.host = host;
      this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      thread(host, this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    private void accept() throws IOException {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        thread(host, () -> serve(socket));
      }
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = new BufferedOutputStream(socket.getOutputStream());
        while (true) {
          List<?> words = (List<?>) value(in);
          String name = text(words.get(0));
          if (!name.equals("C.GET") && !name.equals("C.SET")) {
            out.write((name.equals("CLIENT") || name.equals("SELECT") ? "+OK\r\n" : "-ERR\r\n").getBytes());
            out.flush();
            continue;
          }
          Map<String, String> attributes = new LinkedHashMap<>();
          for (String pair : text(words.get(3)).split(",")) {
            attributes.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
          }
          Command command =
              new Command(
                  name,
                  text(words.get(1)),
                  text(words.get(2)),
                  attributes,
                  words.size() > 4 ? (byte[]) words.get(4) : null);
          handle(command, in, out);
        }
      }
    }

    /** Runs a command and answers it. */
    void handle(Command command, InputStream in, OutputStream out) throws IOException {
      record.line(host + " runs " + command.name() + " " + command.id() + " " + command.attributes());
      sleep(workMillis(command));
      out.write(served(answerOf(command)));
      out.flush();
    }

    long workMillis(Command command) {
      return 20;
    }

    /** The value or receipt, which names the request that it was made for. */
    String answerOf(Command command) {
      return (command.name().equals("C.GET") ? "value-of-" : "receipt-of-")
          + command.key() + "-for-" + command.id();
    }

    static byte[] served(String value) {
      return ("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n")
          .getBytes(StandardCharsets.ISO_8859_1);
    }
  }

  /** Discovery: the list of cache servers, whole or as changes, over HTTP/1.1. */
  static class Discovery {
    private record Entry(String host, int port, String site, String health, long bornMs, long seq) {
      String json() {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + site
            + "\",\"class\":\"std\",\"block\":0,\"health\":\"" + health
            + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
      }
    }

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private long seq;
    final ServerSocket listener;
    final Record record;
    final String name;

    Discovery(Record record, String name) throws IOException {
      this.record = record;
      this.name = name;
      listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      thread(name, this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    /** Lists a cache server, or changes its entry. */
    synchronized void put(String host, int port, String site, String health) {
      seq++;
      entries.put(host, new Entry(host, port, site, health, 0, seq));
      record.line(name + ": version " + seq + ", " + host + " is " + health);
      notifyAll();
    }

    synchronized String whole() {
      return list(-1);
    }

    private String list(long after) {
      StringBuilder out = new StringBuilder();
      for (Entry entry : entries.values()) {
        if (entry.seq() > after && !(after < 0 && entry.health().equals("gone"))) {
          out.append(out.length() == 0 ? "" : ",").append(entry.json());
        }
      }
      return "{\"seq\":" + seq + ",\"whole\":" + (after < 0) + ",\"hosts\":[" + out + "]}";
    }

    private synchronized String changes(long after, long waitMillis) throws InterruptedException {
      long until = System.nanoTime() + waitMillis * 1_000_000;
      while (seq <= after && System.nanoTime() < until) {
        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      }
      return list(after);
    }

    private void accept() throws IOException {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        thread(name, () -> serve(socket));
      }
    }

    private void serve(Socket socket) throws Exception {
      try (socket) {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
          String request = line(in);
          while (!line(in).isEmpty()) {
            // Headers do not matter here.
          }
          long from = System.nanoTime();
          String path = request.split(" ")[1];
          record.line(name + " is asked " + path);
          beforeAnswer();
          String body;
          if (path.contains("after=")) {
            long after = Long.parseLong(path.replaceAll(".*after=(-?\\d+).*", "$1"));
            long wait = path.contains("wait_ms=") ? Long.parseLong(path.replaceAll(".*wait_ms=(\\d+).*", "$1")) : 0;
            body = changes(after, wait - (System.nanoTime() - from) / 1_000_000);
          } else {
            body = whole();
          }
          byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
          OutputStream out = socket.getOutputStream();
          out.write(
              ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n"
                      + body)
                  .getBytes(StandardCharsets.UTF_8));
          out.flush();
          record.line(
              name + " answers " + path + " after " + (System.nanoTime() - from) / 1_000_000 + " ms: "
                  + (body.length() > 300 ? body.substring(0, 300) + "..." : body));
        }
      }
    }

    /** The time that a call waits for its turn. */
    void beforeAnswer() {}
  }
}
