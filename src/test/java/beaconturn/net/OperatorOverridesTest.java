package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.net.control.MonotonicMillis;
import beaconturn.net.control.ServerOverride;
import beaconturn.protocol.Json;
import beaconturn.stats.Counters;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Overrides by operators of one router, combined with the servers that the fleet excludes. */
class OperatorOverridesTest {
  @TempDir private Path folder;
  private final List<RoutingMessage> posted = new ArrayList<>();
  private final Set<String> excludedByFleet = new HashSet<>();
  private final List<Boolean> acknowledged = new ArrayList<>();
  private OperatorOverrides operators;

  @BeforeEach
  void bind() throws Exception {
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    RouterConfig config =
        new RouterConfig(
            "r1",
            any,
            any,
            1,
            512,
            192,
            null,
            null,
            new ProcessEnvironment(any, false, folder),
            new Json.Null());
    operators =
        new OperatorOverrides(
            config,
            new Lifecycle(),
            () -> 0,
            posted::add,
            excludedByFleet::contains,
            new RouterMetrics(new Counters(), null));
  }

  @AfterEach
  void close() {
    operators.close();
  }

  private void override(boolean excluded) {
    operators.applyOverride(new ServerOverride("c1", excluded, 5), true, acknowledged::add);
  }

  @Test
  void includesServerThatOperatorExcluded() {
    override(true);
    assertTrue(operators.isExcluded("c1"));
    override(false);
    assertFalse(operators.isExcluded("c1"));
    assertEquals(
        List.of(true, false),
        posted.stream().map(m -> ((RoutingMessage.OverrideRequested) m).excluded()).toList());
  }

  /**
   * The time of an override decides how warm a cache server counts; wall clock steps must not
   * affect it.
   */
  @Test
  void convertsOverrideTimeToProcessClock() {
    operators.applyOverride(
        new ServerOverride("c1", false, MonotonicMillis.millis() - 5000), true, acknowledged::add);
    long atNanos = ((RoutingMessage.OverrideRequested) posted.get(0)).atNanos();
    assertTrue(atNanos <= -5_000_000_000L && atNanos > -60_000_000_000L, () -> "at " + atNanos);
    operators.applyOverride(
        new ServerOverride("c1", false, MonotonicMillis.millis() + 3_600_000),
        true,
        acknowledged::add);
    assertEquals(
        0,
        ((RoutingMessage.OverrideRequested) posted.get(1)).atNanos(),
        "an override time in the future counts as now");
  }

  /** The command is acknowledged and takes effect once the fleet no longer excludes the server. */
  @Test
  void operatorCannotIncludeServerExcludedByFleet() {
    excludedByFleet.add("c1");
    override(false);
    assertEquals(List.of(), posted);
    assertEquals(List.of(true), acknowledged);
  }

  /**
   * A server excluded by both the fleet and an operator stays excluded when the fleet includes it
   * again.
   */
  @Test
  void operatorExclusionOutlastsFleetExclusion() {
    excludedByFleet.add("c1");
    override(true);
    excludedByFleet.clear();
    assertTrue(operators.isExcluded("c1"));
    assertEquals(1, posted.size());
  }
}
