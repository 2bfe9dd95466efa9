package beaconturn.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class SectionTest {
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

  private static Section read(String text) throws TomlException {
    return Section.read("f.toml", text);
  }

  private interface Question {
    void ask() throws TomlException;
  }

  private static void wrong(String line, Question question) {
    assertEquals(line, assertThrows(TomlException.class, question::ask).getMessage());
  }

  @Test
  void valuesAreReadAndWhatIsNotGivenHasItsUsualValue() throws TomlException {
    Section file = read(TEXT);
    Section fleet = file.table("fleet");
    Section stall = file.tables("fault").get(1);
    assertEquals("x", file.word("name", "y"));
    assertEquals("y", file.word("about", "y"));
    assertEquals(3, fleet.whole("caches", 1, 1, 9));
    assertEquals(1.5, fleet.number("speed", 1, 0, 9));
    assertEquals(1_500_000_000L, fleet.time("wait", 0, 0));
    assertEquals(List.of("a", "b"), stall.words("on", List.of()));
    assertTrue(stall.flag("flag", false));
    assertEquals(2 << 20, stall.size("room", 0, 0));
    assertEquals(7, file.table("none").whole("x", 7, 0, 9));
    assertEquals(List.of(), file.tables("nothing"));
  }

  @Test
  void aWrongValueIsOneLineWithFileLineAndKey() throws TomlException {
    Section file = read(TEXT);
    Section fleet = file.table("fleet");
    wrong(
        "f.toml:5: fleet.caches: out of range, allowed is 5 to 9",
        () -> fleet.whole("caches", 5, 5, 9));
    wrong("f.toml:6: fleet.speed: not a whole number", () -> fleet.whole("speed", 1, 0, 9));
    wrong(
        "f.toml:5: fleet.caches: not a time, write for example \"1.5s\" or \"300ms\"",
        () -> fleet.time("caches", 0, 0));
    wrong(
        "f.toml:7: fleet.wait: too short, at least 2.0s is needed",
        () -> fleet.time("wait", 0, 2_000_000_000L));
    wrong("f.toml:2: name: not a number", () -> file.number("name", 1, 0, 2));
    wrong(
        "f.toml:9: fault[0].kind: unknown 'slow', allowed are a, b",
        () -> file.tables("fault").get(0).choice("kind", "a", List.of("a", "b")));
    wrong("f.toml:2: name: not a table, write [name]", () -> file.table("name"));
    wrong("f.toml:4: fleet: not a list of tables, write [[fleet]]", () -> file.tables("fleet"));
  }

  @Test
  void aKeyThatNobodyAsksForIsTurnedAwayWhereverItStands() throws TomlException {
    Section file = read(TEXT);
    file.word("name", "");
    file.table("fleet").whole("caches", 1, 1, 9);
    file.tables("fault");
    wrong("f.toml:6: fleet.speed: unknown key, allowed are caches", file::end);
  }

  @Test
  void whatIsNoTomlNamesItsLine() {
    String message = assertThrows(TomlException.class, () -> read("a = 1\nb = = 2\n")).getMessage();
    assertTrue(message.startsWith("f.toml:2: not TOML: "), message);
    assertEquals(1, message.lines().count());
  }
}
