package beaconturn.net.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReceivedResponseMemoryTest {
  private static final int KB = 1024;

  private final ReceivedResponseMemory memory = new ReceivedResponseMemory(100 * KB);
  private final ReceivedResponseMemory.OfServer server = memory.ofServer();

  private static boolean grows(ReceivedResponseMemory.Reservation reservation, int bytes)
      throws InterruptedException {
    return reservation.growTo(bytes, 0);
  }

  @Test
  void oneServerLeavesMemoryToAnother() throws InterruptedException {
    assertTrue(grows(server.newReservation(), 30 * KB));
    assertTrue(grows(server.newReservation(), 20 * KB));
    assertFalse(grows(server.newReservation(), 5 * KB), "half of the memory is in use");
    ReceivedResponseMemory.OfServer other = memory.ofServer();
    assertTrue(grows(other.newReservation(), 50 * KB));
    assertEquals(100 * KB, memory.reservedBytes());
    assertFalse(grows(memory.ofServer().newReservation(), 5 * KB), "all of it is in use");
  }

  @Test
  void smallResponsesNeedNoMemory() {
    assertFalse(ReceivedResponseMemory.isLimited(4 * KB));
    assertTrue(ReceivedResponseMemory.isLimited(4 * KB + 1));
  }

  @Test
  void responseThatTurnsOutLargerTakesTheDifference() throws InterruptedException {
    ReceivedResponseMemory.Reservation reservation = server.newReservation();
    assertTrue(grows(reservation, 20 * KB));
    assertTrue(grows(reservation, 10 * KB));
    assertEquals(20 * KB, memory.reservedBytes());
    assertTrue(grows(reservation, 35 * KB));
    assertEquals(35 * KB, memory.reservedBytes());
    reservation.release();
    reservation.release();
    assertEquals(0, memory.reservedBytes());
  }

  @Test
  void responseLargerThanTheLimitTakesAllOfTheServersShare() throws InterruptedException {
    ReceivedResponseMemory.Reservation reservation = server.newReservation();
    assertTrue(grows(reservation, 400 * KB));
    assertEquals(50 * KB, memory.reservedBytes());
  }

  @Test
  void failedReservationTakesNothingOfTheServersShare() throws InterruptedException {
    ReceivedResponseMemory.Reservation first = memory.ofServer().newReservation();
    ReceivedResponseMemory.Reservation second = memory.ofServer().newReservation();
    assertTrue(grows(first, 50 * KB));
    assertTrue(grows(second, 40 * KB));
    assertFalse(grows(server.newReservation(), 20 * KB), "only 10 KB are free");
    first.release();
    second.release();
    assertTrue(grows(server.newReservation(), 50 * KB));
  }
}
