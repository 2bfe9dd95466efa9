package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.FutureTask;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class MailboxTest {
  @Test
  void aFullMailboxTakesNoMoreAndKeepsTheOrder() throws InterruptedException {
    Mailbox<Integer> mailbox = new Mailbox<>(2);
    assertTrue(mailbox.offer(1));
    assertTrue(mailbox.offer(2));
    assertFalse(mailbox.offer(3));
    assertEquals(1, mailbox.take());
    assertEquals(2, mailbox.poll(0));
    assertNull(mailbox.poll(0));
  }

  /** What may be turned away leaves room for what may not. */
  @Test
  void someRoomCanBeKeptFree() {
    Mailbox<Integer> mailbox = new Mailbox<>(4);
    assertTrue(mailbox.offerReserving(2, 1));
    assertTrue(mailbox.offerReserving(2, 2));
    assertFalse(mailbox.offerReserving(2, 3));
    assertTrue(mailbox.offer(3));
  }

  @Test
  void whatIsUrgentIsTakenFirstAndInItsOwnOrder() throws InterruptedException {
    Mailbox<Integer> mailbox = new Mailbox<>(1);
    mailbox.put(1);
    mailbox.putFirst(2);
    mailbox.putFirst(3);
    assertEquals(2, mailbox.take());
    assertEquals(3, mailbox.take());
    assertEquals(1, mailbox.take());
  }

  @Test
  @Timeout(20)
  void aThreadThatPutsIntoAFullMailboxWaitsForRoom() throws Exception {
    Mailbox<Integer> mailbox = new Mailbox<>(1);
    mailbox.put(1);
    FutureTask<Boolean> second =
        new FutureTask<>(
            () -> {
              mailbox.put(2);
              return true;
            });
    started(second, Thread.State.WAITING);
    assertEquals(1, mailbox.take());
    assertEquals(2, mailbox.take());
    assertTrue(second.get());
  }

  /**
   * Guards against waiting on a condition of java.util.concurrent: one whose time is over spins,
   * without ever giving way, until the poster that is just waking it has gone on; on one core that
   * may be never.
   */
  @Test
  void aTimedWaitIsOnTheMailboxItself() throws Exception {
    Mailbox<Integer> mailbox = new Mailbox<>(1);
    FutureTask<Integer> taken = new FutureTask<>(() -> mailbox.poll(60_000_000_000L));
    Object blocker = LockSupport.getBlocker(started(taken, Thread.State.TIMED_WAITING));
    mailbox.put(7);
    assertEquals(7, taken.get());
    assertNull(blocker);
  }

  private static Thread started(FutureTask<?> task, Thread.State until) {
    Thread thread = new Thread(task);
    thread.start();
    while (thread.getState() != until) {
      Thread.onSpinWait();
    }
    return thread;
  }
}
