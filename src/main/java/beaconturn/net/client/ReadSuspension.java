package beaconturn.net.client;

/**
 * Suspends the reading of commands while a response is streamed to their client, so that the close
 * of the connection, if the response breaks off, leaves no command behind that was read. Commands
 * that are not read stay in the socket; their client sends them again on a new connection.
 *
 * <p>The poller thread reads between {@link #beginRead} and {@link #endRead}; any thread that
 * writes responses may call the other methods. None blocks for longer than a few field accesses.
 */
final class ReadSuspension {
  /** Whether reading is suspended after a call of {@link #trySuspend}. */
  enum Result {
    /** No command is read until {@link #resume}. */
    SUSPENDED,
    /** The poller is reading; {@link #endRead} tells it to write responses afterwards. */
    READ_IN_PROGRESS,
    /** Commands that have been read wait to be processed. */
    COMMANDS_WAITING
  }

  // Guarded by this.
  private boolean suspended;
  private boolean reading;
  private boolean commandsWaiting;
  private boolean writerWaiting;

  /** Begins to read and process commands; false while reading is suspended. */
  synchronized boolean beginRead() {
    reading = !suspended;
    return reading;
  }

  /**
   * Ends what {@link #beginRead} began.
   *
   * @param waiting whether commands that have been read wait to be processed
   * @return whether a response waits for this, to be written now
   */
  synchronized boolean endRead(boolean waiting) {
    reading = false;
    commandsWaiting = waiting;
    boolean wasWaiting = writerWaiting;
    writerWaiting = false;
    return wasWaiting;
  }

  /** Suspends reading if no command has been read that is not processed. */
  synchronized Result trySuspend() {
    if (reading) {
      writerWaiting = true;
      return Result.READ_IN_PROGRESS;
    }
    if (commandsWaiting) {
      return Result.COMMANDS_WAITING;
    }
    suspended = true;
    return Result.SUSPENDED;
  }

  synchronized boolean isSuspended() {
    return suspended;
  }

  /** Lets reading go on. */
  synchronized void resume() {
    suspended = false;
  }
}
