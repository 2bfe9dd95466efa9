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
 * Addresses on loopback whose ports the kernel gives to nobody by itself, each given out once in
 * many thousands. On a port of the kernel's own choice the kit meets strangers: whoever still calls
 * the one that had it before, a router whose discovery is gone for instance, would be taken for a
 * router that sends rubbish.
 */
public final class LoopbackPorts {
  private static final int FIRST = 15_000;

  /** Up to where the kernel's own begin on any usual system. */
  private static final int COUNT = 15_000;

  private static final int AGAIN = 50;
  private static final long AGAIN_AFTER = 10_000_000;

  /** Other processes begin elsewhere. */
  private static final AtomicInteger NEXT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

  /** What takes an address. */
  public interface Binding<T> {
    /** Binds to it; a {@link BindException} has the next one tried. */
    T bind(InetSocketAddress address) throws IOException;
  }

  private LoopbackPorts() {}

  /**
   * Bound and never listening: the kernel refuses who connects, and gives the port to nobody else.
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
   * Takes an address again that this process has listened on: a child that is just being started
   * holds for a moment what its parent has closed, up to its exec.
   */
  public static <T> T rebind(InetSocketAddress address, Binding<T> binding) throws IOException {
    for (int i = 1; i < AGAIN; i++) {
      try {
        return binding.bind(address);
      } catch (BindException e) {
        LockSupport.parkNanos(AGAIN_AFTER);
      }
    }
    return binding.bind(address);
  }

  /** Has the first free address taken. */
  public static <T> T bindFree(Binding<T> binding) throws IOException {
    for (int i = 0; i < COUNT; i++) {
      InetSocketAddress at =
          new InetSocketAddress("127.0.0.1", FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT));
      try (ServerSocket probe = new ServerSocket()) {
        // Also one that is only bound, and kept for a process that is down, is another's.
        probe.setReuseAddress(false);
        probe.bind(at);
      } catch (BindException e) {
        continue;
      }
      try {
        return binding.bind(at);
      } catch (BindException e) {
        // Another's: the next one.
      }
    }
    throw new IOException("no free port from " + FIRST + " to " + (FIRST + COUNT - 1));
  }
}
