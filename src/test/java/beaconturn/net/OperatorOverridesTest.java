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

/** What operators say of one router, beside what the whole fleet has agreed to leave out. */
class OperatorOverridesTest {
  @TempDir private Path folder;
  private final List<RoutingMessage> posted = new ArrayList<>();
  private final Set<String> heldOut = new HashSet<>();
  private final List<Boolean> known = new ArrayList<>();
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
            heldOut::contains,
            new RouterMetrics(new Counters(), null));
  }

  @AfterEach
  void close() {
    operators.close();
  }

  private void say(boolean out) {
    operators.applyOverride(new ServerOverride("c1", out, 5), true, known::add);
  }

  @Test
  void aCallBringsBackWhatACallLeftOut() {
    say(true);
    assertTrue(operators.isExcluded("c1"));
    say(false);
    assertFalse(operators.isExcluded("c1"));
    assertEquals(
        List.of(true, false),
        posted.stream().map(m -> ((RoutingMessage.OverrideRequested) m).excluded()).toList());
  }

  /**
   * The module reckons from it how warm a cache server is: the wall clock, which may be stepped,
   * has no say.
   */
  @Test
  void whenSomethingWasSaidIsToldByTheClockOfThisProcess() {
    operators.applyOverride(
        new ServerOverride("c1", false, MonotonicMillis.millis() - 5000), true, known::add);
    long at = ((RoutingMessage.OverrideRequested) posted.get(0)).atNanos();
    assertTrue(at <= -5_000_000_000L && at > -60_000_000_000L, () -> "at " + at);
    operators.applyOverride(
        new ServerOverride("c1", false, MonotonicMillis.millis() + 3_600_000), true, known::add);
    assertEquals(
        0,
        ((RoutingMessage.OverrideRequested) posted.get(1)).atNanos(),
        "nothing was said later than now");
  }

  /** The call is answered, as it holds once the fleet lets go; until then nobody sends there. */
  @Test
  void whatTheFleetHoldsOutNoCallAtOneRouterBringsBack() {
    heldOut.add("c1");
    say(false);
    assertEquals(List.of(), posted);
    assertEquals(List.of(true), known);
  }

  /**
   * It is out for two reasons: the fleet's end of it must not bring back what operators left out
   * here.
   */
  @Test
  void whatOperatorsLeftOutStaysSoWhateverTheFleetHoldsOut() {
    heldOut.add("c1");
    say(true);
    heldOut.clear();
    assertTrue(operators.isExcluded("c1"));
    assertEquals(1, posted.size());
  }
}
