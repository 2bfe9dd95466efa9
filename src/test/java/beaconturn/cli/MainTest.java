package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class MainTest {
  @Test
  void wrongUsageExitsWithTwo() {
    assertEquals(2, Main.run());
    assertEquals(2, Main.run("other"));
    assertEquals(2, Main.run("simhost", "extra"));
    assertEquals(2, Main.run("serve", "--unknown"));
    assertEquals(2, Main.run("rehearse"));
    assertEquals(2, Main.run("stand-in", "one.toml", "two.toml"));
  }

  @Test
  void informationalCommandsExitWithZero() {
    assertEquals(0, Main.run("version"));
    assertEquals(0, Main.run("rehearse", "--list"));
  }

  @Test
  void missingFileExitsWithOne() {
    assertEquals(1, Main.run("rehearse", "no/such/scenario.toml"));
    assertEquals(1, Main.run("stand-in", "no/such/scenario.toml"));
    assertEquals(1, Main.run("check-config", "--config", "no/such/file.json"));
    assertEquals(1, Main.run("serve", "--config", "no/such/file.json"));
  }

  @Test
  void helpExitsWithZero() {
    assertEquals(0, Main.run("--help"));
    assertEquals(0, Main.run("rehearse", "--help"));
    assertEquals(2, Main.run("rehearse", "--help", "more"));
  }

  @Test
  void standInExitsWithOneIfPortIsInUse() throws IOException {
    try (ServerSocket portInUse = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      assertEquals(
          1,
          Main.run(
              "stand-in",
              "examples/try-out.toml",
              "--port",
              Integer.toString(portInUse.getLocalPort()),
              "--control",
              "0"));
    }
  }
}
