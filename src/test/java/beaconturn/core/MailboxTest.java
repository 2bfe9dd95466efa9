package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

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
        assertTrue(mailbox.offerLeaving(2, 1));
        assertTrue(mailbox.offerLeaving(2, 2));
        assertFalse(mailbox.offerLeaving(2, 3));
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
    void aThreadThatPutsIntoAFullMailboxWaitsForRoom() throws InterruptedException {
        Mailbox<Integer> mailbox = new Mailbox<>(1);
        mailbox.put(1);
        Thread second = new Thread(() -> put(mailbox, 2));
        second.start();
        assertEquals(1, mailbox.take());
        assertEquals(2, mailbox.take());
        second.join();
    }

    /**
     * Guards against waiting on a condition of java.util.concurrent: one whose time is over spins, without
     * ever giving way, until the poster that is just waking it has gone on; on one core that may be never.
     */
    @Test
    void aTimedWaitIsOnTheMailboxItself() throws InterruptedException {
        Mailbox<Integer> mailbox = new Mailbox<>(1);
        AtomicReference<Integer> taken = new AtomicReference<>();
        Thread waiting = new Thread(() -> taken.set(poll(mailbox)));
        waiting.start();
        while (waiting.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        Object blocker = LockSupport.getBlocker(waiting);
        mailbox.put(7);
        waiting.join();
        assertNull(blocker);
        assertEquals(7, taken.get());
    }

    private static Integer poll(Mailbox<Integer> mailbox) {
        try {
            return mailbox.poll(60_000_000_000L);
        } catch (InterruptedException e) {
            return null;
        }
    }

    private static void put(Mailbox<Integer> mailbox, int message) {
        try {
            mailbox.put(message);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
