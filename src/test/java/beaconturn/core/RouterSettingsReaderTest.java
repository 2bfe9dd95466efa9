package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.decision.Idempotency;
import beaconturn.decision.RoutingSettings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RouterSettingsReaderTest {
  @Test
  void readsRoutingSettingsAndNames() {
    RouterSettings settings = Samples.read();
    assertEquals(List.of("read", "put", "ack"), settings.classNames());
    assertEquals(List.of("east", "west"), settings.zones());
    assertEquals(5_000_000_000L, settings.routing().permissions().connectionIdleNanos());
    assertEquals(Idempotency.NON_IDEMPOTENT, settings.routing().classes().get(2).idempotency());
    assertEquals(3, settings.routing().permissions().maxAttempts());
  }

  @Test
  void errorNamesMissingOrInvalidSetting() {
    assertInvalid("classes.count", null);
    assertInvalid("classes.1.effect", "sometimes");
    assertInvalid("classes.2.target", "soon");
    assertInvalid("classes.0.key_scope", "town");
    assertInvalid("permissions.second_copies", "perhaps");
    assertInvalid("permissions.conn_idle", "0");
    assertInvalid("family_info.notes", "some");
  }

  /** A deployment may omit settings that only other kinds of deployments need. */
  @Test
  void optionalSettingsHaveDefaults() {
    assertTrue(Samples.read().routing().origin().reportsCacheHits());
    RoutingSettings settings =
        Samples.read(
                "family_info.notes",
                "none",
                "permissions.second_copies",
                "false",
                "permissions.conn_idle",
                "7000000000")
            .routing();
    assertFalse(settings.origin().reportsCacheHits());
    assertFalse(settings.permissions().hedging());
    assertEquals(7_000_000_000L, settings.permissions().connectionIdleNanos());
  }

  private static void assertInvalid(String path, String value) {
    Map<String, String> values = Samples.settings();
    values.put(path, value);
    if (value == null) {
      values.remove(path);
    }
    String message =
        assertThrows(SettingsException.class, () -> RouterSettingsReader.read(values)).getMessage();
    assertEquals("setting " + path, message.substring(0, message.indexOf(':')));
  }
}
