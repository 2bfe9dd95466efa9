package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.ConfigException;
import beaconturn.release.InstanceKind;
import beaconturn.release.ReleaseFleet;
import beaconturn.release.RolloutPlan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReleaseFilesTest {
  @TempDir private Path directory;

  @Test
  void readsShippedExampleFiles() throws ConfigException {
    ReleaseFleet fleet = ReleaseFiles.readFleet("examples/releases/fleet.toml");
    assertEquals(2, fleet.group(InstanceKind.ROUTER).maxUnavailable());
    assertEquals(1, fleet.group(InstanceKind.CACHE).maxUnavailable(), "a quarter of four");
    assertEquals("west", fleet.group(InstanceKind.ROUTER).zoneOf("r4"));
    RolloutPlan plan = ReleaseFiles.readPlan("examples/releases/plan.toml", "why", fleet);
    assertNull(plan.blockingReason(fleet));
    assertEquals(
        List.of(List.of("r1"), List.of("r2"), List.of("r3"), List.of("r4", "r5")), plan.waves());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[routers] | :1: routers.site: none is given, at least one site is needed",
        "[routers];[[routers.site]];name = \"a\" | :2: routers.site[0].parts: empty, at"
            + " least one is needed",
        "[routers];most_out = 1;share_out = 0.5;[[routers.site]];name = \"a\";parts ="
            + " [\"r1\"] | :3:"
            + " routers.share_out: given beside most_out, allowed is one of them",
        "[routers];[[routers.site]];name = \"a\";parts = [\"r1\"];[[routers.site]];name = \"b\";"
            + "parts = [\"r1\"] | :7: routers.site[1].parts: 'r1' is odd or given twice"
      })
  void reportsInvalidFileInOneLine(String text, String expectedError) throws IOException {
    Path file = directory.resolve("fleet.toml");
    Files.writeString(file, text.replace(';', '\n'));
    ConfigException e =
        assertThrows(ConfigException.class, () -> ReleaseFiles.readFleet(file.toString()));
    assertTrue(e.getMessage().startsWith(file + expectedError), e.getMessage());
    assertEquals(1, e.getMessage().lines().count());
  }
}
