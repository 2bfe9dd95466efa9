package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
}
