package beaconturn.standin.net;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Assigns loopback ports below the kernel's ephemeral range, each once in many thousand
 * assignments.
 *
 * <p>Clients of the last owner of an ephemeral port, such as a router whose discovery has ended,
 * may still connect to that port; a stand-in on that port would treat them as its own clients.
 */
public final class LoopbackPorts {
  private static final int FIRST_PORT = 15_000;

  /** Keeps the range below the usual start of the ephemeral ports. */
  private static final int PORT_COUNT = 15_000;

  private static final int MAX_REBIND_ATTEMPTS = 50;
  private static final long REBIND_DELAY_NANOS = 10_000_000;

  /** Starts at random, so that concurrent processes use different ports. */
  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

  /** Binds a socket to an address. */
  public interface Binding<T> {
    /**
     * Binds to an address.
     *
     * @throws BindException if the address is in use; the caller then retries
     */
    T bind(InetSocketAddress address) throws IOException;
  }

  private LoopbackPorts() {}

  /**
   * Binds to an address without listening: the kernel refuses connections to it and assigns it to
   * no other process.
   */
  public static SocketChannel reserve(InetSocketAddress address) throws IOException {
    SocketChannel holder = SocketChannel.open();
    try {
      holder.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      holder.bind(address);
      return holder;
    } catch (IOException e) {
      holder.close();
      throw e;
    }
  }

  /**
   * Binds to an address that this process has listened on, with retries: a child process inherits
   * the closed socket and keeps it until its exec.
   */
  public static <T> T rebind(InetSocketAddress address, Binding<T> binding) throws IOException {
    for (int attempt = 1; attempt < MAX_REBIND_ATTEMPTS; attempt++) {
      try {
        return binding.bind(address);
      } catch (BindException e) {
        LockSupport.parkNanos(REBIND_DELAY_NANOS);
      }
    }
    return binding.bind(address);
  }

  /** Binds to the next free address. */
  public static <T> T bindFree(Binding<T> binding) throws IOException {
    for (int i = 0; i < PORT_COUNT; i++) {
      InetSocketAddress address =
          new InetSocketAddress(
              "127.0.0.1", FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT));
      try (ServerSocket probe = new ServerSocket()) {
        // This also skips ports that are only reserved for a process that is down.
        probe.setReuseAddress(false);
        probe.bind(address);
      } catch (BindException e) {
        continue;
      }
      try {
        return binding.bind(address);
      } catch (BindException e) {
        // Another process has bound the port since the probe.
      }
    }
    throw new IOException(
        "no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
  }
}
