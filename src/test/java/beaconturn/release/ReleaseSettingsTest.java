package beaconturn.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Answer;
import beaconturn.agreement.Call;
import beaconturn.agreement.Content;
import beaconturn.agreement.Desk;
import beaconturn.agreement.Keys;
import beaconturn.agreement.Snapshot;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Settings that come into force with a release, and go back with it. */
class ReleaseSettingsTest {
  private static final Keys KEYS = new Keys("/f");
  private static final Content TWICE = new Content(new TreeMap<>(), 2, null, 0, new TreeSet<>());
  private final Driver driver = new Driver(Board.KEYS, "d1", () -> "");
  private Board board;
  private Desk agreement;

  @BeforeEach
  void begin() throws AgreementException {
    board = Board.with(1, 1);
    agreement = new Desk(KEYS, board);
    agreement.begin("i");
    long drained =
        agreement.propose(
            now -> new Content(now.classes(), 3, null, 0, new TreeSet<>(List.of("c1"))),
            "op",
            "drained",
            0);
    settle(drained);
    board
        .desk()
        .start(
            new Plan(
                0,
                Kind.ROUTER,
                List.of(List.of("r1")),
                0,
                0,
                Bounds.of(0),
                1,
                0,
                "why",
                TWICE,
                ""));
    assertTrue(board.held(driver.take(board.scene(), 1)));
  }

  private Snapshot seen() throws AgreementException {
    return Snapshot.of(KEYS, (Answer.Given) board.ask(new Call.Read(KEYS.common())));
  }

  /** All routers act on what is proposed. */
  private void settle(long number) throws AgreementException {
    String next =
        ((Answer.Given) board.ask(new Call.Read(KEYS.common() + "next"))).pairs().get(0).value();
    board.ask(
        new Call.Swap(
            List.of(),
            List.of(
                new Call.Change.Put(KEYS.common() + "current", next, 0),
                new Call.Change.Delete(KEYS.common() + "next"),
                new Call.Change.Put(KEYS.common() + "settled", Long.toString(number), 0))));
  }

  private String drive() throws AgreementException {
    Agreed agreed = new Agreed(seen(), agreement.nextNumber(), List.of("r9"), 0);
    Act act = driver.due(board.scene(), Absence.of(Map.of()), agreed, 0);
    if (act == null) {
      return "waits: " + driver.waits();
    }
    assertTrue(board.held(act), act.says());
    return act.says();
  }

  @Test
  void theyComeIntoForceBeforeAnyPartGoesOut() throws AgreementException {
    assertEquals("its settings: version 2 is proposed", drive());
    assertEquals("waits: version 2 of its settings waits for r9", drive());
    settle(2);
    assertEquals(2, seen().current().content().mostTries());
    assertEquals(List.of("c1"), List.copyOf(seen().current().content().out()), "a drain stays");
    assertTrue(drive().startsWith("r1 goes out under permit 1"));
  }

  /** What was drained meanwhile stays so; the settings are those of before. */
  @Test
  void theyGoBackOnceNoPartRunsWhatWasReleased() throws AgreementException {
    drive();
    settle(2);
    drive();
    long drained =
        agreement.propose(
            now ->
                new Content(
                    now.classes(), now.mostTries(), null, 0, new TreeSet<>(List.of("c1", "c2"))),
            "op",
            "drained too",
            0);
    settle(drained);
    board.desk().back("harms");
    assertTrue(drive().startsWith("r1 was not begun"));
    assertEquals("its settings: version 4 is proposed", drive());
    assertEquals("waits: version 4, its settings of before, waits for r9", drive());
    settle(4);
    assertEquals(3, seen().current().content().mostTries());
    assertEquals(List.of("c1", "c2"), List.copyOf(seen().current().content().out()));
    assertEquals("all parts run again what they ran before", drive());
  }

  @Test
  void oneThatIsTurnedDownTakesTheReleaseBackAndNeedsNoWayBack() throws AgreementException {
    drive();
    agreement.withdraw("a router cannot follow");
    assertEquals("goes back: its settings, version 2, were turned down", drive());
    assertEquals("its settings never came into force", drive());
    assertEquals("all parts run again what they ran before", drive());
    assertEquals(1, seen().current().number());
  }

  /** The proposal is one transaction with the driver's own conditions. */
  @Test
  void aDriverThatWasReplacedProposesNothing() throws AgreementException {
    Act act =
        driver.due(board.scene(), Absence.of(Map.of()), new Agreed(seen(), 2, List.of(), 0), 0);
    board.driverGone();
    assertFalse(board.held(act));
    assertEquals(0, seen().nextNumber());
    assertNull(driver.due(board.scene(), Absence.of(Map.of()), null, 0));
  }
}
