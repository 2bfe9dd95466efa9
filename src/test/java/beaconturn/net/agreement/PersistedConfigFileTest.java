package beaconturn.net.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.ClassIdempotency;
import beaconturn.agreement.ClassRule;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.ConfigVersion;
import beaconturn.agreement.PersistedConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the format of the file: a router that is upgraded while the store is unreachable starts on
 * the file of the previous build. The constant was written by an earlier build.
 */
class PersistedConfigFileTest {
  private static final String TEXT =
      """
          {"identity":"a1","cluster":"14841639068965178418","revision":77,\
          "joined":true,"acting":"{\\"number\\":3,\\"content\\":{\\"classes\\":{\
          \\"get\\":{\\"effect\\":\\"safe\\",\\"deadline_ms\\":250},\\"set\\":{\\"eff\
          ect\\":\\"unsafe\\"}},\\"most_tries\\":2,\\"second_copies\\":false},\\"a\
          uthor\\":\\"op\\",\\"reason\\":\\"calm\\",\\"at_ms\\":1700000000000,\\"dig\
          est\\":\\"4bab46e285ef3a50588e106f7f01029b\\"}","next":"{\\"number\\"\
          :4,\\"content\\":{\\"oldest_list\\":12,\\"out\\":[\\"c1\\"]},\\"author\\":\
          \\"op\\",\\"reason\\":\\"c1 out\\",\\"at_ms\\":1700000060000,\\"digest\\":\
          \\"b6f6c7a5ef1e2fc11b927023092d485f\\"}"}""";

  private static PersistedConfig persisted() {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    classes.put("get", new ClassRule(ClassIdempotency.IDEMPOTENT, null, 250_000_000L));
    classes.put("set", new ClassRule(ClassIdempotency.NON_IDEMPOTENT, null, null));
    ConfigContent acting = new ConfigContent(classes, 2, false, 0, new TreeSet<>());
    ConfigContent next =
        new ConfigContent(new TreeMap<>(), null, null, 12, new TreeSet<>(List.of("c1")));
    return new PersistedConfig(
        "a1",
        "14841639068965178418",
        77,
        true,
        ConfigVersion.of(3, acting, "op", "calm", 1_700_000_000_000L),
        ConfigVersion.of(4, next, "op", "c1 out", 1_700_000_060_000L));
  }

  @Test
  void fileFormatIsUnchanged(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("beaconturn-router_1-a.agreed");
    List<String> log = new ArrayList<>();
    PersistedConfigFile configFile = new PersistedConfigFile(folder, "router.1-a", log::add);
    assertEquals(PersistedConfig.EMPTY, configFile.read());
    Files.writeString(file, TEXT);
    assertEquals(persisted(), configFile.read());
    Files.delete(file);
    assertTrue(configFile.write(persisted()));
    assertEquals(TEXT, Files.readString(file));
    assertEquals(List.of(), log);
  }

  @Test
  void corruptFileIsLoggedAndTreatedAsAbsent(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("beaconturn-r1.agreed");
    List<String> log = new ArrayList<>();
    Files.writeString(file, TEXT.replace("calm", "bold"));
    assertEquals(PersistedConfig.EMPTY, new PersistedConfigFile(folder, "r1", log::add).read());
    assertEquals(1, log.size());
    assertTrue(log.get(0).startsWith("agreement: ignoring " + file + ": version 3 has"));
  }
}
