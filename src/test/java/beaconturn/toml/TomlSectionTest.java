package beaconturn.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class TomlSectionTest {
  private static final String TEXT =
      """
        # a comment
        name = "x"

        [fleet]
        caches = 3   # how many
        speed = 1.5
        wait = "1.5s"
        [[fault]]
        kind = "slow"
        [[fault]]
        kind = "stall"
        on = ["a", "b"]
        flag = true
        room = "2MB"
        """;

  private static TomlSection read(String text) throws TomlException {
    return TomlSection.read("f.toml", text);
  }

  private interface Read {
    void run() throws TomlException;
  }

  private static void assertError(String message, Read read) {
    assertEquals(message, assertThrows(TomlException.class, read::run).getMessage());
  }

  @Test
  void readsValuesAndDefaults() throws TomlException {
    TomlSection file = read(TEXT);
    TomlSection fleet = file.table("fleet");
    TomlSection stall = file.tables("fault").get(1);
    assertEquals("x", file.text("name", "y"));
    assertEquals("y", file.text("about", "y"));
    assertEquals(3, fleet.integer("caches", 1, 1, 9));
    assertEquals(1.5, fleet.number("speed", 1, 0, 9));
    assertEquals(1_500_000_000L, fleet.durationNanos("wait", 0, 0));
    assertEquals(List.of("a", "b"), stall.texts("on", List.of()));
    assertTrue(stall.bool("flag", false));
    assertEquals(2 << 20, stall.sizeBytes("room", 0, 0));
    assertEquals(7, file.table("none").integer("x", 7, 0, 9));
    assertEquals(List.of(), file.tables("nothing"));
  }

  @Test
  void errorNamesFileLineAndKey() throws TomlException {
    TomlSection file = read(TEXT);
    TomlSection fleet = file.table("fleet");
    assertError(
        "f.toml:5: fleet.caches: out of range, allowed is 5 to 9",
        () -> fleet.integer("caches", 5, 5, 9));
    assertError("f.toml:6: fleet.speed: not a whole number", () -> fleet.integer("speed", 1, 0, 9));
    assertError(
        "f.toml:5: fleet.caches: not a time, write for example \"1.5s\" or \"300ms\"",
        () -> fleet.durationNanos("caches", 0, 0));
    assertError(
        "f.toml:7: fleet.wait: too short, at least 2.0s is needed",
        () -> fleet.durationNanos("wait", 0, 2_000_000_000L));
    assertError("f.toml:2: name: not a number", () -> file.number("name", 1, 0, 2));
    assertError(
        "f.toml:9: fault[0].kind: unknown 'slow', allowed are a, b",
        () -> file.tables("fault").get(0).choice("kind", "a", List.of("a", "b")));
    assertError("f.toml:2: name: not a table, write [name]", () -> file.table("name"));
    assertError(
        "f.toml:4: fleet: not a list of tables, write [[fleet]]", () -> file.tables("fleet"));
  }

  @Test
  void rejectsUnknownKeyInSubtable() throws TomlException {
    TomlSection file = read(TEXT);
    file.text("name", "");
    file.table("fleet").integer("caches", 1, 1, 9);
    file.tables("fault");
    assertError("f.toml:6: fleet.speed: unknown key, allowed are caches", file::rejectUnknownKeys);
  }

  @Test
  void syntaxErrorNamesFileAndLine() {
    String message = assertThrows(TomlException.class, () -> read("a = 1\nb = = 2\n")).getMessage();
    assertTrue(message.startsWith("f.toml:2: not TOML: "), message);
    assertEquals(1, message.lines().count());
  }
}
