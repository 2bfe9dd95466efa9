package beaconturn.net.io;

import beaconturn.core.StreamingResponse;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A bounded buffer between the thread that reads a large response from a cache server and the
 * threads that write it to the client. The producer blocks while the buffer is full; the consumer
 * never blocks.
 *
 * <p>The consumer may have the response collected first: then no chunk is available before the
 * response is complete, and the producer does not block.
 */
public final class BoundedPipe implements StreamingResponse {
  /** Marks the end of the response in place of a chunk. */
  public static final Slice END = Slice.of("");

  /** Marks an incomplete response in place of a chunk: its producer has failed. */
  public static final Slice ABORTED = Slice.of("");

  private static final int CAPACITY_BYTES = 32 * 1024;

  // Guarded by this.
  private final Deque<Slice> chunks = new ArrayDeque<>();
  private int bufferedBytes;

  /** {@link #END} or {@link #ABORTED} once no further chunk will be added, otherwise null. */
  private Slice terminator;

  private boolean cancelled;
  private Runnable onAvailable = () -> {};

  private final int responseBytes;

  /** The response as far as it has been received, or null unless it is being collected. */
  private byte[] collected;

  private int collectedBytes;

  /** Whether the consumer has taken a chunk. */
  private boolean started;

  /** Creates an empty pipe for a response of that size. */
  public BoundedPipe(int responseBytes) {
    this.responseBytes = responseBytes;
  }

  /** The size of the whole response. For any thread. */
  public int responseBytes() {
    return responseBytes;
  }

  /**
   * Sets the action that runs whenever a chunk is added; chunks may be available already. For any
   * thread.
   */
  public synchronized void onAvailable(Runnable action) {
    onAvailable = action;
  }

  /**
   * Adds a chunk; blocks while the pipe is full. For the only producer.
   *
   * @throws IOException if the pipe has been cancelled
   */
  public void put(Slice chunk) throws IOException {
    synchronized (this) {
      awaitCapacity();
      if (cancelled) {
        throw new IOException("pipe cancelled: the client of the response has disconnected");
      }
      if (collected != null) {
        append(chunk);
        return;
      }
      chunks.add(chunk);
      bufferedBytes += chunk.length();
    }
    notifyConsumer();
  }

  private synchronized void awaitCapacity() {
    try {
      while (collected == null && bufferedBytes >= CAPACITY_BYTES && !cancelled) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      cancelled = true;
    }
  }

  private synchronized void append(Slice chunk) {
    System.arraycopy(chunk.array(), chunk.from(), collected, collectedBytes, chunk.length());
    collectedBytes += chunk.length();
  }

  /** Collects the response: until it has ended, no chunk is available. For the consumer. */
  public synchronized void collect() {
    if (cancelled || collected != null) {
      return;
    }
    collected = new byte[responseBytes];
    chunks.forEach(this::append);
    chunks.clear();
    bufferedBytes = 0;
    notifyAll();
  }

  /** Makes available what was collected, and what follows as it arrives. For the consumer. */
  public synchronized void stopCollecting() {
    if (collected != null) {
      chunks.add(new Slice(collected, 0, collectedBytes));
      bufferedBytes = collectedBytes;
      collected = null;
    }
  }

  /** Whether the consumer has taken a part of the response. For any thread. */
  public synchronized boolean isStarted() {
    return started;
  }

  /** Whether no further chunk will be added. For any thread. */
  public synchronized boolean hasEnded() {
    return terminator != null;
  }

  /** Marks the response as complete: all chunks have been added. */
  public void end() {
    finish(END);
  }

  /** Marks the response as incomplete: no further chunk will be added. */
  public void abort() {
    finish(ABORTED);
  }

  private void finish(Slice marker) {
    synchronized (this) {
      if (terminator == null) {
        terminator = marker;
      }
    }
    notifyConsumer();
  }

  private void notifyConsumer() {
    Runnable action;
    synchronized (this) {
      action = onAvailable;
    }
    action.run();
  }

  /**
   * Removes the next chunk, or returns {@link #END}, {@link #ABORTED}, or null if none is
   * available.
   */
  public synchronized Slice next() {
    if (terminator == END) {
      stopCollecting();
    }
    Slice chunk = chunks.poll();
    if (chunk == null) {
      return terminator;
    }
    started = true;
    bufferedBytes -= chunk.length();
    notifyAll();
    return chunk;
  }

  @Override
  public synchronized void cancel() {
    cancelled = true;
    chunks.clear();
    collected = null;
    notifyAll();
  }
}
