package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Writes a client's responses in the order of its commands, on the thread that completes the next
 * response. Any thread may call any method; none blocks: bytes that the socket does not accept are
 * written when the poller reports the socket writable.
 */
final class ClientWriter {
  /** Takes the place of a response: the output is shut down here. */
  static final Slice END_OF_OUTPUT = Slice.of("");

  /**
   * Limit on the responses queued behind one that the client reads slowly, to bound the heap they
   * use.
   */
  private static final int MAX_PIPELINED_BEHIND_BLOCKED = 2;

  /** Time without known progress after which the socket is tried, and between two such tries. */
  private static final long PROGRESS_CHECK_NANOS = 1_000_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  /** Notified of the writer's progress; called without a lock, on any thread. */
  interface WriteListener {
    /** Responses have been written or have failed; {@code idle} if none is outstanding any more. */
    void onResponsesWritten(boolean idle);
  }

  private final SocketChannel channel;
  private final Clock clock;
  private final PipelineLimit pipelineLimit;
  private final WriteListener listener;
  private final ReadSuspension readSuspension = new ReadSuspension();
  // Guarded by this.
  private final StreamingGuard streamingGuard;
  private final Deque<ResponseSlot> slots = new ArrayDeque<>(2);
  private ByteBuffer unwritten;
  private long writingSinceNanos = NEVER;
  private long progressCheckedAtNanos;
  private int pendingResponses;

  /** The pending responses that were dropped, as the connection is closed. */
  private int discardedResponses;

  private boolean closing;
  private CloseReason failureReason;
  private long idleSinceNanos;
  private long outputShutdownAtNanos = NEVER;

  ClientWriter(
      SocketChannel channel, Clock clock, PipelineLimit pipelineLimit, WriteListener listener) {
    this.channel = channel;
    this.clock = clock;
    this.pipelineLimit = pipelineLimit;
    this.listener = listener;
    this.streamingGuard = new StreamingGuard(clock, readSuspension);
    this.idleSinceNanos = clock.now();
    this.progressCheckedAtNanos = idleSinceNanos;
  }

  /**
   * When the last response was written, or {@code Long.MAX_VALUE} if one is outstanding or the
   * connection is closing.
   */
  synchronized long idleSinceNanos() {
    return pendingResponses == 0 && !closing ? idleSinceNanos : NEVER;
  }

  /**
   * When the client last accepted bytes of the response being written, or {@code Long.MAX_VALUE} if
   * no response is being written.
   */
  synchronized long writingSinceNanos() {
    return writingSinceNanos;
  }

  /** When the output was shut down, or {@code Long.MAX_VALUE} if it is open. */
  synchronized long outputShutdownAtNanos() {
    return outputShutdownAtNanos;
  }

  /** The number of outstanding responses. */
  synchronized int pendingResponses() {
    return pendingResponses;
  }

  /** Whether a response waits for the socket to become writable. */
  synchronized boolean isBlocked() {
    return unwritten != null;
  }

  /** Suspends the reading of commands while a response is streamed. */
  ReadSuspension readSuspension() {
    return readSuspension;
  }

  /** Whether a streamed response is held back, which {@link #write} may start later. */
  synchronized boolean holdsResponse() {
    return streamingGuard.holdsResponse();
  }

  /** Why writing failed, or null if it has not. */
  synchronized CloseReason failureReason() {
    return failureReason;
  }

  /**
   * Whether the next command may be processed; if not, the listener is notified after the next
   * write.
   */
  synchronized boolean hasCapacity() {
    return pipelineLimit.permitsNext(pendingResponses)
        && (unwritten == null || pendingResponses <= MAX_PIPELINED_BEHIND_BLOCKED);
  }

  /** Whether the slot is the next to be written. */
  synchronized boolean isNext(ResponseSlot slot) {
    return slots.peek() == slot;
  }

  /** Appends the slot to the response queue; false if the connection is closing. */
  boolean enqueue(ResponseSlot slot) {
    synchronized (this) {
      if (closing) {
        return false;
      }
      add(slot);
    }
    slot.whenAvailable(this::write);
    return true;
  }

  /**
   * Appends a response that is complete and short. Equal ones in a row take no more memory than
   * one, and one position of the pipeline.
   */
  void enqueueRepeatable(Slice response) {
    synchronized (this) {
      if (closing) {
        return;
      }
      if (slots.peekLast() instanceof RepeatedResponse last && last.repeats(response)) {
        last.add();
      } else {
        add(new RepeatedResponse(response));
      }
    }
    write();
  }

  private void add(ResponseSlot slot) {
    pendingResponses++;
    pipelineLimit.started(clock);
    slots.add(slot);
  }

  /**
   * Shuts down the output if no response is outstanding; false if one is. The input stays open: a
   * full close would reset the connection if a request arrives meanwhile, and the last response
   * could be lost.
   */
  boolean shutdownOutputIfIdle() {
    synchronized (this) {
      if (idleSinceNanos() == NEVER) {
        return false;
      }
      closing = true;
    }
    shutdownOutput();
    return true;
  }

  /** Shuts down the output after the outstanding responses. */
  void shutdownOutputAfterPending() {
    synchronized (this) {
      if (closing) {
        return;
      }
      closing = true;
      slots.add(ResponseSlot.of(END_OF_OUTPUT));
    }
    write();
  }

  /**
   * Drops all responses that are not written, as the connection is closed.
   *
   * @return the number of dropped responses
   */
  synchronized int discardPending() {
    closing = true;
    slots.stream().map(ResponseSlot::stream).filter(Objects::nonNull).forEach(BoundedPipe::cancel);
    slots.forEach(ResponseSlot::dequeued);
    slots.clear();
    pipelineLimit.ended(pendingResponses - discardedResponses);
    discardedResponses = pendingResponses;
    unwritten = null;
    writingSinceNanos = NEVER;
    return pendingResponses;
  }

  /** Writes the available responses, up to the first that is not complete or streaming. */
  void write() {
    int pendingBefore;
    int pendingAfter;
    boolean notifyListener;
    synchronized (this) {
      pendingBefore = pendingResponses;
      try {
        flush();
      } catch (TruncatedResponseException e) {
        failWith(CloseReason.RESPONSE_TRUNCATED);
      } catch (IOException e) {
        failWith(CloseReason.CLIENT_DISCONNECTED);
      }
      pendingAfter = pendingResponses;
      notifyListener = failureReason != null || unwritten != null || pendingAfter < pendingBefore;
    }
    if (notifyListener) {
      listener.onResponsesWritten(pendingAfter == 0 && pendingBefore > 0);
    }
  }

  /**
   * Tries to write if the client has accepted nothing for some time, as far as is known. The system
   * reports a socket as writable only once a third of its send buffer is free, which takes a client
   * that reads slowly but steadily a long time; a write shows whether any of it is. To be called
   * periodically.
   */
  void checkProgress(long nowNanos) {
    synchronized (this) {
      // Also false while no response is being written.
      boolean stalled = writingSinceNanos <= nowNanos - PROGRESS_CHECK_NANOS;
      if (!stalled || nowNanos - progressCheckedAtNanos < PROGRESS_CHECK_NANOS) {
        return;
      }
      progressCheckedAtNanos = nowNanos;
    }
    write();
  }

  /** No command is read between the failure and the close, as it could not be answered. */
  private void failWith(CloseReason reason) {
    failureReason = reason;
    readSuspension.trySuspend();
    discardPending();
  }

  /** Thrown if a response that is partially written cannot be completed. */
  private static final class TruncatedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    TruncatedResponseException() {
      super("response truncated: its cache server failed before the response was complete");
    }
  }

  private void flush() throws IOException {
    while (unwritten != null || nextChunk()) {
      int from = unwritten.position();
      boolean writtenCompletely = Sockets.writeSome(channel, unwritten);
      // Counted from the last byte accepted: a large response may take long as long as it
      // progresses.
      if (unwritten.position() > from || writingSinceNanos == NEVER) {
        writingSinceNanos = clock.now();
      }
      if (!writtenCompletely) {
        return;
      }
      unwritten = null;
      writingSinceNanos = NEVER;
      if (slots.peek().endsWithChunk()) {
        completeFirst();
      }
    }
  }

  /** Removes the first response, which has been written completely. */
  private void completeFirst() {
    slots.poll().dequeued();
    streamingGuard.responseCompleted();
    pendingResponses--;
    pipelineLimit.ended(1);
    idleSinceNanos = clock.now();
  }

  /**
   * Sets the next chunk to write, if one is available; a streamed response yields one chunk at a
   * time.
   */
  private boolean nextChunk() throws IOException {
    while (!slots.isEmpty()) {
      if (!streamingGuard.mayStart(slots.peek(), pendingResponses > 1)) {
        return false;
      }
      Slice chunk = slots.peek().nextChunk();
      if (chunk == null) {
        return false;
      }
      if (chunk == BoundedPipe.ABORTED) {
        throw new TruncatedResponseException();
      }
      if (chunk == END_OF_OUTPUT) {
        slots.poll();
        shutdownOutput();
        return false;
      }
      if (chunk != BoundedPipe.END) {
        unwritten = ByteBuffer.wrap(chunk.array(), chunk.from(), chunk.length());
        return true;
      }
      completeFirst();
    }
    return false;
  }

  private void shutdownOutput() {
    synchronized (this) {
      outputShutdownAtNanos = Math.min(outputShutdownAtNanos, clock.now());
    }
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      Sockets.close(channel);
    }
  }
}
