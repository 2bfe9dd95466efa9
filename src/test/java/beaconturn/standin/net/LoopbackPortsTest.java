package beaconturn.standin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.rehearsal.fleet.FaultProxy;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Ports must not be reused soon, since clients of their last owner may still connect to them. */
class LoopbackPortsTest {
  private static final int PORT_COUNT = 300;
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  private static int bindAndClose() throws IOException {
    return LoopbackPorts.bindFree(
        address -> {
          try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
            return address.getPort();
          }
        });
  }

  @Test
  void closedPortIsNotReusedSoon() throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < PORT_COUNT; i++) {
      ports.add(bindAndClose());
    }
    assertEquals(PORT_COUNT, new HashSet<>(ports).size());
    assertTrue(ports.stream().allMatch(port -> port < FIRST_EPHEMERAL_PORT), ports::toString);
  }

  @Test
  void portsInUseAreSkipped() throws IOException {
    List<InetSocketAddress> attempted = new ArrayList<>();
    InetSocketAddress bound =
        LoopbackPorts.bindFree(
            address -> {
              attempted.add(address);
              if (attempted.size() < 3) {
                throw new BindException("in use");
              }
              return address;
            });
    assertEquals(attempted.get(2), bound);
    assertEquals(3, new HashSet<>(attempted).size());
  }

  /** A child process keeps a closed listener of its parent until its exec. */
  @Test
  void rebindRetriesUntilTheAddressIsReleased() throws IOException {
    List<InetSocketAddress> attempted = new ArrayList<>();
    InetSocketAddress own = new InetSocketAddress("127.0.0.1", 1);
    assertEquals(
        own,
        LoopbackPorts.rebind(
            own,
            address -> {
              attempted.add(address);
              if (attempted.size() < 3) {
                throw new BindException("held by a child");
              }
              return address;
            }));
    assertEquals(List.of(own, own, own), attempted);
  }

  @Test
  void faultProxyListensBelowTheEphemeralPorts() throws IOException {
    try (FaultProxy proxy = new FaultProxy(new InetSocketAddress("127.0.0.1", 1))) {
      assertTrue(proxy.address().getPort() < FIRST_EPHEMERAL_PORT, proxy.address()::toString);
    }
  }
}
