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
  void rejectsMessagesWhenFullAndKeepsOrder() throws InterruptedException {
    Mailbox<Integer> mailbox = new Mailbox<>(2);
    assertTrue(mailbox.offer(1));
    assertTrue(mailbox.offer(2));
    assertFalse(mailbox.offer(3));
    assertEquals(1, mailbox.take());
    assertEquals(2, mailbox.poll(0));
    assertNull(mailbox.poll(0));
  }

  /** Messages that may be rejected must leave capacity for those that may not. */
  @Test
  void offerReservingKeepsSlotsFree() {
    Mailbox<Integer> mailbox = new Mailbox<>(4);
    assertTrue(mailbox.offerReserving(2, 1));
    assertTrue(mailbox.offerReserving(2, 2));
    assertFalse(mailbox.offerReserving(2, 3));
    assertTrue(mailbox.offer(3));
  }

  @Test
  void takesUrgentMessagesFirstInTheirOrder() throws InterruptedException {
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
  void putBlocksWhileMailboxIsFull() throws Exception {
    Mailbox<Integer> mailbox = new Mailbox<>(1);
    mailbox.put(1);
    FutureTask<Boolean> second =
        new FutureTask<>(
            () -> {
              mailbox.put(2);
              return true;
            });
    start(second, Thread.State.WAITING);
    assertEquals(1, mailbox.take());
    assertEquals(2, mailbox.take());
    assertTrue(second.get());
  }

  /**
   * Guards against a timed wait on a java.util.concurrent condition: once expired, it spins until
   * the signalling thread proceeds, which may never happen on one core.
   */
  @Test
  void timedPollWaitsOnOwnMonitor() throws Exception {
    Mailbox<Integer> mailbox = new Mailbox<>(1);
    FutureTask<Integer> taken = new FutureTask<>(() -> mailbox.poll(60_000_000_000L));
    Object blocker = LockSupport.getBlocker(start(taken, Thread.State.TIMED_WAITING));
    mailbox.put(7);
    assertEquals(7, taken.get());
    assertNull(blocker);
  }

  private static Thread start(FutureTask<?> task, Thread.State awaitedState) {
    Thread thread = new Thread(task);
    thread.start();
    while (thread.getState() != awaitedState) {
      Thread.onSpinWait();
    }
    return thread;
  }
}
