package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.io.BoundedPipe;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** When a streamed response may start, on a clock that the test turns. */
class StreamingGuardTest {
  private static final long MILLI_NANOS = 1_000_000;
  private static final long DEADLINE_NANOS = 400 * MILLI_NANOS;
  private static final String RESPONSE = "$5\r\nvalue\r\n";

  private final AtomicLong nowNanos = new AtomicLong();
  private final ReadSuspension reading = new ReadSuspension();
  private final StreamingGuard guard = new StreamingGuard(nowNanos::get, reading);
  private final BoundedPipe pipe = new BoundedPipe(RESPONSE.length());
  private boolean memoryFree = true;
  private boolean stoppedWaiting;
  private final ResponseSlot slot =
      new ResponseSlot() {
        @Override
        public long deadlineNanos() {
          return DEADLINE_NANOS;
        }

        @Override
        boolean reserveCollected(int bytes) {
          assertEquals(RESPONSE.length(), bytes);
          return memoryFree;
        }

        @Override
        void stopWaitingForMemory() {
          stoppedWaiting = true;
        }
      };

  StreamingGuardTest() throws IOException {
    slot.startStream(pipe);
    pipe.put(Slice.of(RESPONSE.substring(0, 6)));
  }

  private String written() {
    StringBuilder text = new StringBuilder();
    for (Slice chunk = slot.nextChunk();
        chunk != null && chunk != BoundedPipe.END;
        chunk = slot.nextChunk()) {
      text.append(chunk);
    }
    return text.toString();
  }

  @Test
  void responseWithNoCommandBehindItStartsAndSuspendsReading() {
    assertTrue(guard.mayStart(slot, false));
    assertFalse(reading.beginRead());
    assertEquals(RESPONSE.substring(0, 6), written());
    assertTrue(guard.mayStart(slot, false));
    guard.responseCompleted();
    assertTrue(reading.beginRead());
  }

  @Test
  void responseWaitsForReadInProgress() {
    assertTrue(reading.beginRead());
    assertFalse(guard.mayStart(slot, false));
    assertFalse(guard.holdsResponse());
    assertTrue(reading.endRead(false));
    assertTrue(guard.mayStart(slot, false));
  }

  @Test
  void collectsResponseWithCommandsBehindIt() throws IOException {
    assertFalse(guard.mayStart(slot, true));
    assertNull(slot.nextChunk());
    pipe.put(Slice.of(RESPONSE.substring(6)));
    assertFalse(guard.mayStart(slot, true));
    pipe.end();
    assertTrue(guard.mayStart(slot, true));
    assertEquals(RESPONSE, written());
    assertTrue(reading.beginRead(), "a complete response needs no suspension");
  }

  /** Commands that were read and wait for their turn count as commands behind the response. */
  @Test
  void collectsResponseWhileCommandsWait() {
    assertTrue(reading.beginRead());
    assertFalse(reading.endRead(true));
    assertFalse(guard.mayStart(slot, false));
    assertTrue(guard.holdsResponse());
  }

  @Test
  void errorTakesThePlaceOfCollectedResponseThatBreaksOff() {
    assertFalse(guard.mayStart(slot, true));
    pipe.abort();
    assertTrue(guard.mayStart(slot, true));
    assertNull(slot.nextChunk());
    slot.fill(Slice.of("-ERR failed\r\n"));
    assertEquals("-ERR failed\r\n", slot.nextChunk().toString());
    assertTrue(slot.endsWithChunk());
  }

  @Test
  void startsAfterHalfOfTheTimeUntilTheDeadline() {
    assertFalse(guard.mayStart(slot, true));
    nowNanos.set(DEADLINE_NANOS / 2 - 1);
    assertFalse(guard.mayStart(slot, true));
    nowNanos.set(DEADLINE_NANOS / 2);
    assertTrue(guard.mayStart(slot, true));
    assertEquals(RESPONSE.substring(0, 6), written());
    assertFalse(guard.holdsResponse());
  }

  @Test
  void waitsForMemory() throws IOException {
    memoryFree = false;
    assertFalse(guard.mayStart(slot, true));
    memoryFree = true;
    assertFalse(guard.mayStart(slot, true));
    pipe.put(Slice.of(RESPONSE.substring(6)));
    pipe.end();
    assertTrue(guard.mayStart(slot, true));
    assertEquals(RESPONSE, written());
  }

  /** A client that holds the memory for long must not delay the responses of others for long. */
  @Test
  void startsWithoutMemoryAfterShortWait() {
    memoryFree = false;
    assertFalse(guard.mayStart(slot, true));
    nowNanos.set(DEADLINE_NANOS / 4 - 1);
    assertFalse(guard.mayStart(slot, true));
    assertFalse(stoppedWaiting);
    nowNanos.set(DEADLINE_NANOS / 4);
    assertTrue(guard.mayStart(slot, true));
    assertTrue(stoppedWaiting);
    assertEquals(RESPONSE.substring(0, 6), written());
  }
}
