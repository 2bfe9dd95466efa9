package beaconturn.net.client;

import beaconturn.protocol.RespValue;

/**
 * A complete command as received from a client.
 *
 * @param value the command; a long argument is empty if it was discarded while it arrived
 * @param arrivedAtNanos when its last byte arrived
 * @param memory the memory reserved for a large command, or null
 * @param outOfMemory whether there was no memory for the command, so that it must not be kept
 */
record ReceivedCommand(
    RespValue value, long arrivedAtNanos, MemoryReservation memory, boolean outOfMemory) {
  /** Releases the memory, if any is reserved: the command is not kept. */
  void releaseMemory() {
    if (memory != null) {
      memory.release();
    }
  }
}
