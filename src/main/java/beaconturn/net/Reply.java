package beaconturn.net;

import beaconturn.protocol.Slice;
import java.util.concurrent.CountDownLatch;

/** The place of one answer in the order of a client's connection: filled once, by any thread. */
class Reply {
    private final CountDownLatch filled = new CountDownLatch(1);
    private volatile Slice bytes;

    /** A place whose answer is there from the start. */
    static Reply of(Slice answer) {
        Reply reply = new Reply();
        reply.fill(answer);
        return reply;
    }

    /** Fills in the answer; one that comes second is dropped. */
    final synchronized void fill(Slice answer) {
        if (bytes == null) {
            over();
            bytes = answer;
            filled.countDown();
        }
    }

    /** Called once, before the answer can be seen. */
    void over() {
    }

    final boolean isFilled() {
        return bytes != null;
    }

    /** Waits for the answer. */
    final Slice await() throws InterruptedException {
        filled.await();
        return bytes;
    }
}
