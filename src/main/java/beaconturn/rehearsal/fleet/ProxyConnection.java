package beaconturn.rehearsal.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;

/**
 * One connection through a {@link FaultProxy}: two sockets, and a thread for each direction that
 * copies what the gate lets pass.
 */
final class ProxyConnection {
  private static final int CHUNK_BYTES = 8192;
  private static final int CONNECT_MILLIS = 10_000;
  private final Socket source;
  private final Socket target = new Socket();
  private final FaultGate gate;
  private final Set<Socket> open;

  /** A connection for an accepted socket; both sockets are in {@code open} while they are. */
  ProxyConnection(Socket source, FaultGate gate, Set<Socket> open) {
    this.source = source;
    this.gate = gate;
    this.open = open;
  }

  /** Connects to the target and copies until both directions have ended. */
  void run(InetSocketAddress to) {
    open.add(source);
    open.add(target);
    try {
      source.setTcpNoDelay(true);
      target.setTcpNoDelay(true);
      if (!gate.awaitOpen(true)) {
        end();
        return;
      }
      target.connect(to, CONNECT_MILLIS);
      FaultProxy.startThread("link-back", () -> copy(target, source, false));
      copy(source, target, true);
    } catch (IOException | InterruptedException e) {
      end();
    }
  }

  private void copy(Socket from, Socket into, boolean towardsTarget) {
    try {
      if (!copyAll(from, into, towardsTarget)) {
        return;
      }
      if (gate.awaitOpen(towardsTarget)) {
        into.shutdownOutput();
      }
      if (!towardsTarget) {
        end();
      }
    } catch (IOException e) {
      passOnReset(into, towardsTarget);
    } catch (InterruptedException e) {
      end();
    }
  }

  /** Copies up to the end of the stream; false if the connection was ended before. */
  private boolean copyAll(Socket from, Socket into, boolean towardsTarget)
      throws IOException, InterruptedException {
    byte[] bytes = new byte[CHUNK_BYTES];
    InputStream in = from.getInputStream();
    OutputStream out = into.getOutputStream();
    for (int got = in.read(bytes); got >= 0; got = in.read(bytes)) {
      int passing = gate.admit(got, towardsTarget);
      // What was held is looked at again: its sender may have reset the connection meanwhile.
      while (passing == FaultGate.HELD && gate.awaitOpen(towardsTarget)) {
        got = readAvailable(from, bytes, got);
        passing = got < 0 ? FaultGate.DISCARDED : gate.admit(got, towardsTarget);
      }
      if (passing > 0 && towardsTarget && gate.delays()) {
        got = readAvailable(from, bytes, got);
        passing = got < 0 ? FaultGate.DISCARDED : got;
      }
      if (passing < 0) {
        // The sender's kernel forgets what it could not deliver when it resets a connection.
        reset(into);
        end();
        return false;
      }
      out.write(bytes, 0, passing);
      if (passing < got) {
        reset(from);
        reset(into);
        return false;
      }
    }
    return true;
  }

  /** The end of a connection is heard behind a cut when the cut is over. */
  private void passOnReset(Socket into, boolean towardsTarget) {
    try {
      gate.awaitOpen(towardsTarget);
      reset(into);
    } catch (IOException | InterruptedException e) {
      // It has ended by itself meanwhile.
      close(into);
    }
    end();
  }

  /**
   * Reads what has come while the first bytes were held; returns how many there are now, or -1
   * after a reset.
   */
  private static int readAvailable(Socket from, byte[] bytes, int held) throws IOException {
    int got = held;
    from.setSoTimeout(1);
    try {
      for (int more = 0; more >= 0 && got < bytes.length; got += Math.max(0, more)) {
        more = from.getInputStream().read(bytes, got, bytes.length - got);
      }
      return got;
    } catch (SocketTimeoutException e) {
      return got;
    } catch (IOException e) {
      return -1;
    } finally {
      from.setSoTimeout(0);
    }
  }

  private void end() {
    open.remove(source);
    open.remove(target);
    close(source);
    close(target);
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Closes a socket of whatever kind. */
  static void close(Closeable socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to do with a socket that fails to close.
      return;
    }
  }
}
