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
 * copies what the gate admits.
 */
final class ProxyConnection {
  private static final int CHUNK_BYTES = 8192;
  private static final int CONNECT_TIMEOUT_MILLIS = 10_000;
  private final Socket source;
  private final Socket target = new Socket();
  private final FaultGate gate;
  private final Set<Socket> openSockets;

  /** Creates a connection; its sockets are members of {@code openSockets} until it ends. */
  ProxyConnection(Socket source, FaultGate gate, Set<Socket> openSockets) {
    this.source = source;
    this.gate = gate;
    this.openSockets = openSockets;
  }

  /** Connects to the target and copies until both directions have ended. */
  void run(InetSocketAddress targetAddress) {
    openSockets.add(source);
    openSockets.add(target);
    try {
      source.setTcpNoDelay(true);
      target.setTcpNoDelay(true);
      if (!gate.awaitOpen(true)) {
        closeBoth();
        return;
      }
      target.connect(targetAddress, CONNECT_TIMEOUT_MILLIS);
      FaultProxy.startThread("link-back", () -> copy(target, source, false));
      copy(source, target, true);
    } catch (IOException | InterruptedException e) {
      closeBoth();
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
        closeBoth();
      }
    } catch (IOException e) {
      relayReset(into, towardsTarget);
    } catch (InterruptedException e) {
      closeBoth();
    }
  }

  /** Copies up to the end of the stream; returns false if the connection was reset before. */
  private boolean copyAll(Socket from, Socket into, boolean towardsTarget)
      throws IOException, InterruptedException {
    byte[] bytes = new byte[CHUNK_BYTES];
    InputStream input = from.getInputStream();
    OutputStream output = into.getOutputStream();
    for (int count = input.read(bytes); count >= 0; count = input.read(bytes)) {
      int admitted = gate.admit(count, towardsTarget);
      // Read again after a wait: the sender may have reset the connection in the meantime.
      while (admitted == FaultGate.HELD && gate.awaitOpen(towardsTarget)) {
        count = readAvailable(from, bytes, count);
        admitted = count < 0 ? FaultGate.DISCARDED : gate.admit(count, towardsTarget);
      }
      if (admitted > 0 && towardsTarget && gate.isDelaying()) {
        count = readAvailable(from, bytes, count);
        admitted = count < 0 ? FaultGate.DISCARDED : count;
      }
      if (admitted < 0) {
        // On a reset the sender's kernel drops data that was not delivered yet.
        reset(into);
        closeBoth();
        return false;
      }
      output.write(bytes, 0, admitted);
      if (admitted < count) {
        reset(from);
        reset(into);
        return false;
      }
    }
    return true;
  }

  /** Relays a reset, once a cut is over. */
  private void relayReset(Socket into, boolean towardsTarget) {
    try {
      gate.awaitOpen(towardsTarget);
      reset(into);
    } catch (IOException | InterruptedException e) {
      // The other side has closed the connection, or the proxy is being closed.
      close(into);
    }
    closeBoth();
  }

  /**
   * Reads what has arrived behind the first {@code alreadyRead} bytes; returns the number of bytes
   * in the buffer, or -1 after a reset.
   */
  private static int readAvailable(Socket from, byte[] bytes, int alreadyRead) throws IOException {
    int count = alreadyRead;
    from.setSoTimeout(1);
    try {
      for (int more = 0; more >= 0 && count < bytes.length; count += Math.max(0, more)) {
        more = from.getInputStream().read(bytes, count, bytes.length - count);
      }
      return count;
    } catch (SocketTimeoutException e) {
      return count;
    } catch (IOException e) {
      return -1;
    } finally {
      from.setSoTimeout(0);
    }
  }

  private void closeBoth() {
    openSockets.remove(source);
    openSockets.remove(target);
    close(source);
    close(target);
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Closes a socket and ignores errors. */
  static void close(Closeable socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // A socket that fails to close needs no further handling.
      return;
    }
  }
}
