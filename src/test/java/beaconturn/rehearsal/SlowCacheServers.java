package beaconturn.rehearsal;

import beaconturn.net.io.Sockets;
import beaconturn.net.io.Threads;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Cache servers that give every request the same response after the same time. One thread serves
 * all connections, so that the time at which a request is recorded is that of its arrival however
 * many there are.
 */
final class SlowCacheServers implements Closeable {
  private static final int BACKLOG = 1024;
  private static final int MAX_READ_BYTES = 8192;
  private static final long WAIT_MILLIS = 1;

  /** A request as it arrived. */
  record Arrival(String id, long atNanos) {}

  private record DueResponse(SelectionKey key, long atNanos) {}

  private static final class Connection {
    private final InputBuffer input = new InputBuffer();
    private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
    private final Queue<ByteBuffer> unwritten = new ArrayDeque<>();
  }

  private final byte[] response;
  private final long serviceNanos;
  private final Selector selector;
  private final List<ServerSocketChannel> servers = new ArrayList<>();
  private final Queue<Arrival> arrivals = new LinkedBlockingQueue<>();

  /** Server thread only. */
  private final Queue<DueResponse> due = new ArrayDeque<>();

  SlowCacheServers(int count, String response, long serviceMillis) throws IOException {
    this.response = response.getBytes(StandardCharsets.ISO_8859_1);
    this.serviceNanos = serviceMillis * 1_000_000;
    this.selector = Selector.open();
    for (int i = 0; i < count; i++) {
      ServerSocketChannel server = ServerSocketChannel.open();
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
      server.configureBlocking(false);
      server.register(selector, SelectionKey.OP_ACCEPT);
      servers.add(server);
    }
    Threads.start("slow-cache-servers", this::run);
  }

  /** The address of each server, as the endpoint list states it. */
  List<String> dialAddresses() {
    return servers.stream().map(server -> "127.0.0.1:" + server.socket().getLocalPort()).toList();
  }

  /** The requests that have arrived so far. */
  List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  private void run() {
    try {
      while (selector.isOpen()) {
        selector.select(this::onReady, WAIT_MILLIS);
        respond(System.nanoTime());
      }
    } catch (IOException | ClosedSelectorException e) {
      return;
    }
  }

  private void onReady(SelectionKey key) {
    try {
      if (key.isAcceptable()) {
        acceptAll((ServerSocketChannel) key.channel());
        return;
      }
      if (key.isReadable()) {
        read(key);
      }
      write(key);
    } catch (IOException | ProtocolException e) {
      close(key);
    }
  }

  private static void close(SelectionKey key) {
    key.cancel();
    Sockets.close(key.channel());
  }

  private void acceptAll(ServerSocketChannel server) throws IOException {
    for (SocketChannel accepted = server.accept(); accepted != null; accepted = server.accept()) {
      accepted.configureBlocking(false);
      accepted.register(selector, SelectionKey.OP_READ, new Connection());
    }
  }

  private void read(SelectionKey key) throws IOException, ProtocolException {
    SocketChannel channel = (SocketChannel) key.channel();
    Connection connection = (Connection) key.attachment();
    InputBuffer input = connection.input;
    int room = Math.min(MAX_READ_BYTES, input.ensureRoom());
    int bytes = channel.read(ByteBuffer.wrap(input.array(), input.end(), room));
    if (bytes < 0) {
      throw new IOException("closed");
    }
    input.filled(bytes);
    for (RespValue command = connection.reader.next(input);
        command != null;
        command = connection.reader.next(input)) {
      RespValue id = ((RespValue.Array) command).items().get(2);
      long nowNanos = System.nanoTime();
      arrivals.add(new Arrival(((RespValue.Bulk) id).bytes().toString(), nowNanos));
      due.add(new DueResponse(key, nowNanos + serviceNanos));
    }
  }

  private void respond(long nowNanos) {
    while (!due.isEmpty() && due.peek().atNanos() <= nowNanos) {
      SelectionKey key = due.remove().key();
      ((Connection) key.attachment()).unwritten.add(ByteBuffer.wrap(response));
      try {
        write(key);
      } catch (IOException | CancelledKeyException e) {
        close(key);
      }
    }
  }

  /** Writes as much as the router takes; the rest follows once it takes more. */
  private static void write(SelectionKey key) throws IOException {
    SocketChannel channel = (SocketChannel) key.channel();
    Queue<ByteBuffer> unwritten = ((Connection) key.attachment()).unwritten;
    while (!unwritten.isEmpty()) {
      channel.write(unwritten.peek());
      if (unwritten.peek().hasRemaining()) {
        key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        return;
      }
      unwritten.remove();
    }
    key.interestOps(SelectionKey.OP_READ);
  }

  @Override
  public void close() {
    servers.forEach(Sockets::close);
    Sockets.close(selector);
  }
}
